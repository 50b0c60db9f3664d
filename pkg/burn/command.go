package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// options holds the values of the command's flags.
type options struct {
	objectives string
	samples    string
	watch      time.Duration
	times      int
	json       bool
	html       string
}

// NewCommand returns the root command of rushramp-burn.
func NewCommand() *cobra.Command {
	o := &options{}
	cmd := &cobra.Command{
		Use:           "rushramp-burn",
		Short:         "Report how fast services burn their error budgets",
		Long:          "Report how fast services burn their error budgets.\nVMs keep nothing, so this tool keeps its samples in a file where it runs: run it\nagain and again, or with --watch, for windows longer than one run.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return o.run(cmd.OutOrStdout()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.objectives, "objectives", "objectives.yaml", "file with the daemons and the objectives")
	flags.StringVar(&o.samples, "samples", "burn-samples.jsonl", "file in which this tool stores its samples")
	flags.DurationVar(&o.watch, "watch", 0, "interval between samples; 0 takes a single sample")
	flags.IntVar(&o.times, "times", 2, "number of samples that --watch takes")
	flags.BoolVar(&o.json, "json", false, "print the report as JSON")
	flags.StringVar(&o.html, "html", "", "write the report with plots to this file")
	return cmd
}

func (o *options) run(out io.Writer) error {
	objectives, err := LoadObjectives(o.objectives)
	if err != nil {
		return err
	}
	samples, err := LoadSamples(o.samples)
	if err != nil {
		return err
	}
	samples, err = o.takeSamples(objectives, samples)
	if err != nil {
		return err
	}
	report := NewReport(objectives.Objectives, samples)
	if o.html != "" {
		if err := writeHTML(o.html, &report); err != nil {
			return err
		}
	}
	if o.json {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(report), "encode the report")
	}
	o.print(out, &report)
	return nil
}

// takeSamples appends one sample to samples, or --times samples when --watch is
// set, and saves the samples file after each. It fails when no daemon answers.
func (o *options) takeSamples(objectives *Objectives, samples []Sample) ([]Sample, error) {
	count := 1
	if o.watch > 0 {
		count = o.times
	}
	for i := range count {
		if i > 0 {
			time.Sleep(o.watch)
		}
		now := time.Now()
		s := TakeSample(objectives.Daemons, now)
		if len(s.Missing) == len(objectives.Daemons) {
			return nil, errors.Errorf("no daemon answered (%s: %s). Check the addresses under daemons; they are those of listen.metrics.", s.Missing[0], s.Causes[s.Missing[0]])
		}
		samples = append(samples, s)
		if err := SaveSamples(o.samples, samples, now); err != nil {
			return nil, err
		}
	}
	return samples, nil
}

func (o *options) print(out io.Writer, r *Report) {
	fmt.Fprintf(out, "%s, %d samples kept in %s\n", r.At.UTC().Format(time.RFC3339), r.Samples, o.samples)
	for _, m := range r.Missing {
		fmt.Fprintf(out, "%s: the calls of this daemon are missing: %s\n", m, r.Causes[m])
	}
	if r.Samples < 2 {
		fmt.Fprintln(out, "A burn rate needs two samples: run this again, or use --watch.")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "objective\twithin\tshare\tcalls\tbad\t5m\t30m\t1h\t6h\tbudget left\talarm")
	for _, l := range r.Objectives {
		longest := l.Burns[len(l.Burns)-1]
		fmt.Fprintf(w, "%s/%s\t%v\t%g\t%.0f\t%.0f\t", l.Objective.Service, l.Objective.Kind, l.Objective.Within, l.Objective.Share, longest.Calls, longest.Bad)
		for _, b := range l.Burns {
			fmt.Fprintf(w, "%.2f\t", b.Rate)
		}
		fmt.Fprintf(w, "%.0f%%\t%s\n", 100*l.BudgetLeft, l.Alarm)
	}
	_ = w.Flush()
	for _, l := range r.Objectives {
		printContributions(out, &l)
	}
}

// maxContributions limits how many data centres, backend servers or outcomes
// are printed per objective.
const maxContributions = 3

// printContributions prints where the bad calls of an objective come from, over
// the longest window.
func printContributions(out io.Writer, l *ObjectiveReport) {
	if l.Burns[len(l.Burns)-1].Bad == 0 {
		return
	}
	fmt.Fprintf(out, "%s/%s burns at:\n", l.Objective.Service, l.Objective.Kind)
	for _, group := range []struct {
		name  string
		parts []Contribution
	}{{"data centre", l.DataCentres}, {"backend server", l.Servers}, {"outcome", l.Outcomes}} {
		for i, p := range group.parts {
			if i == maxContributions || p.Bad == 0 {
				break
			}
			fmt.Fprintf(out, "  %s %s: %.0f of %.0f calls bad, %.0f%% of all bad\n", group.name, p.Name, p.Bad, p.Calls, 100*p.Share)
		}
	}
}

func writeHTML(path string, r *Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write the HTML report")
	}
	if err := page.Execute(file, newView(r)); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write the HTML report")
	}
	return errors.Wrap(file.Close(), "write the HTML report")
}
