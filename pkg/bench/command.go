package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// ErrViolations is returned when a run violated at least one guarantee.
var ErrViolations = errors.New("guarantees were violated; see the violation counts above")

// NewCommand returns the root command of rushramp-bench.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "rushramp-bench",
		Short:         "Run load experiments with daemons and stand-ins inside this process, over loopback TCP",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), compareCommand(), faultsCommand(), slopesCommand())
	return root
}

// flags holds the values of the commands' flags.
type flags struct {
	duration time.Duration
	policy   string
	policies string
	seed     uint64
	seeds    int
	json     string
	profile  string
}

func (f *flags) register(cmd *cobra.Command) {
	cmd.Flags().DurationVar(&f.duration, "duration", 5*time.Second, "duration of the load")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the arrivals")
	cmd.Flags().StringVar(&f.json, "json", "", "file for the report as JSON")
	cmd.Flags().StringVar(&f.profile, "profile", "", "file for a CPU profile of the whole command")
}

// gcPercent is the garbage collection target (GOGC) of the bench, in percent.
const gcPercent = 400

// withProfile sets gcPercent and runs do. It writes a CPU profile of do when
// --profile is set.
func (f *flags) withProfile(do func() error) error {
	// The stand-ins and the load allocate memory that a daemon alone would not.
	// Rare garbage collection keeps that cost out of the daemons' CPU time.
	debug.SetGCPercent(gcPercent)
	if f.profile == "" {
		return do()
	}
	file, err := os.Create(f.profile)
	if err != nil {
		return errors.Wrap(err, "write the CPU profile")
	}
	defer func() { _ = file.Close() }()
	if err := pprof.StartCPUProfile(file); err != nil {
		return errors.Wrap(err, "write the CPU profile")
	}
	defer pprof.StopCPUProfile()
	return do()
}

func runCommand() *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:   "run FILE [FILE...]",
		Short: "Run deployments under their load and report",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.withProfile(func() error { return runAll(cmd.OutOrStdout(), args, f) })
		},
	}
	f.register(cmd)
	cmd.Flags().StringVar(&f.policy, "policy", "", `policy of the daemons, or "oracle"; "+soft" or "-soft" at its end turns the soft first attempt on or off`)
	return cmd
}

func runAll(out io.Writer, files []string, f *flags) error {
	return f.forEachFile(files, func(d *Deployment) ([]*Report, error) {
		report, err := Run(d, Options{Duration: f.duration, Policy: f.policy, Seed: f.seed})
		if err != nil {
			return nil, err
		}
		printReport(out, report)
		return []*Report{report}, nil
	})
}

// forEachFile runs the experiment files one after the other and writes their
// reports. It returns ErrViolations when a guarantee was violated.
func (f *flags) forEachFile(files []string, run func(*Deployment) ([]*Report, error)) error {
	var reports []*Report
	violations := 0
	for _, file := range files {
		d, err := LoadDeployment(file)
		if err != nil {
			return err
		}
		found, err := run(d)
		if err != nil {
			return err
		}
		for _, r := range found {
			violations += r.TotalViolations()
		}
		reports = append(reports, found...)
	}
	if err := writeJSON(f.json, reports); err != nil {
		return err
	}
	if violations > 0 {
		return ErrViolations
	}
	return nil
}

// writeJSON writes a single report as an object, several as a list.
func writeJSON(path string, reports []*Report) error {
	if path == "" {
		return nil
	}
	var value any = reports
	if len(reports) == 1 {
		value = reports[0]
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write the report")
}

func printReport(out io.Writer, r *Report) {
	fmt.Fprintf(out, "%s: %d daemons, %d calls, seed %d\n", r.Deployment, r.Daemons, r.Calls, r.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "service\tcalls\tanswered\tnot run\tunknown\tp50 ms\tp99 ms\twait p50 ms\twait p99 ms\twait p99.9 ms\t")
	for _, name := range sortedKeys(r.Services) {
		printStats(w, name, r.Services[name])
	}
	if len(r.Kinds) > len(r.Services) {
		for _, name := range sortedKeys(r.Kinds) {
			printStats(w, name, r.Kinds[name])
		}
	}
	printStats(w, "all", r.Stats)
	_ = w.Flush()
	fmt.Fprintf(out, "refusals %.3f, retries %.3f, hedges %.3f a call; added p99 %d us by the daemons' clocks, %d us from outside\n",
		r.Refusals, r.Retries, r.Hedges, r.AddedP99, r.AddedOutsideP99)
	fmt.Fprintf(out, "measuring %.0f bytes/s, %.1f messages/s a daemon; control %.2f%% of a core, %.1f MB a daemon\n",
		r.MeasureBytes, r.MeasureMessages, r.ControlCPU, r.RSS)
	printViolations(out, &r.Violations)
	for _, kind := range sortedKeys(r.Outcomes) {
		fmt.Fprintf(out, "  %s: %d\n", kind, r.Outcomes[kind])
	}
	fmt.Fprintln(out)
}

func printViolations(out io.Writer, v *Violations) {
	fmt.Fprintf(out, "violations: crossed %d, truncated %d, doubled %d, false not-run %d, wrong place %d, cut by drain %d, work after leaving %d, config reverts %d, budget overruns %d\n",
		v.Crossed, v.Truncated, v.Doubled, v.FalseNotRun, v.WrongPlace, v.CutByDrain, v.WorkAfterLeaving, v.ConfigReverts, v.BudgetOverruns)
}

func printStats(w io.Writer, name string, f Stats) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", name, f.Calls, f.Answered, f.RefusedNotRun, f.OutcomeUnknown,
		formatMS(f.P50), formatMS(f.P99), formatMS(f.WaitP50), formatMS(f.WaitP99), formatMS(f.WaitP999))
}

// formatMS formats microseconds as milliseconds.
func formatMS(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func compareCommand() *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:   "compare FILE [FILE...]",
		Short: "Run policies in turn on the same arrivals, and compare each with the first",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.withProfile(func() error { return compareAll(cmd.OutOrStdout(), args, f) })
		},
	}
	f.register(cmd)
	cmd.Flags().StringVar(&f.policies, "policies", "oracle,least_outstanding,expected_wait+soft", "comma-separated policies")
	cmd.Flags().IntVar(&f.seeds, "seeds", 1, "number of seeds, starting with --seed")
	return cmd
}

func compareAll(out io.Writer, files []string, f *flags) error {
	return f.forEachFile(files, func(d *Deployment) ([]*Report, error) { return comparePolicies(out, d, f) })
}

// comparePolicies runs a deployment with each policy and each seed.
func comparePolicies(out io.Writer, d *Deployment, f *flags) ([]*Report, error) {
	var reports []*Report
	policies := strings.Split(f.policies, ",")
	table := newRatioTable(policies)
	for i := range f.seeds {
		seed := f.seed + uint64(i)
		for _, policy := range policies {
			r, err := Run(d, Options{Duration: f.duration, Policy: policy, Seed: seed, SkipIdle: true})
			if err != nil {
				return nil, err
			}
			reports = append(reports, r)
			table.add(policy, r)
		}
	}
	table.print(out, d.Name, f.seeds)
	return reports, nil
}
