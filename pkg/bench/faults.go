package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rushramp/rushramp/pkg/daemon"
	"github.com/rushramp/rushramp/pkg/settings"
)

// Durations and numbers of the phases. In each phase, one or two faults are
// injected.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 1200 * time.Millisecond
	phaseGap         = 400 * time.Millisecond
	// pairPhases is the number of phases with two random faults at the same
	// time, samePairPhases with the same fault twice.
	pairPhases     = 10
	samePairPhases = 4
)

// faultRun runs a deployment under load and injects faults: each kind alone, in
// pairs, and twice, in an order drawn from the seed.
type faultRun struct {
	cluster *cluster
	sender  *caller

	mu sync.Mutex
	// reserved contains the nodes that a fault has reserved.
	reserved    map[*node]bool
	violations  Violations
	outcomes    []outcome
	faultCounts map[string]int
	races       int
	racesLost   int
	// err is the first error of a fault; RunFaults returns it instead of a report.
	err error
}

// FaultReport is the report of a run with faults.
type FaultReport struct {
	Deployment  string `json:"deployment"`
	Seed        uint64 `json:"seed"`
	Calls       int    `json:"calls"`
	NeverRepeat int    `json:"never_repeat_calls"`
	Answered    int    `json:"answered"`
	// NotRun counts calls refused with Rushramp-Ran: no, Unknown all other
	// calls without an answer.
	NotRun  int            `json:"refused_not_run"`
	Unknown int            `json:"outcome_unknown"`
	Faults  map[string]int `json:"faults"`
	// Races counts the placement changes by operators, RacesLost those that
	// failed.
	Races     int            `json:"races"`
	RacesLost int            `json:"races_lost"`
	Outcomes  map[string]int `json:"outcomes"`
	// WrongAnswers describes the answers that were crossed or truncated.
	WrongAnswers []string `json:"wrong"`
	Violations
}

// recordViolation changes the violations under the lock.
func (fr *faultRun) recordViolation(change func(*Violations)) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	change(&fr.violations)
}

// setError keeps the first error, which RunFaults returns.
func (fr *faultRun) setError(err error) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.err == nil {
		fr.err = err
	}
}

// drawPhases returns the faults of each phase, in random order.
func drawPhases(rnd *rand.Rand) [][]fault {
	kinds := faultKinds()
	var out [][]fault
	for _, k := range kinds {
		out = append(out, []fault{k})
	}
	for range pairPhases {
		out = append(out, []fault{kinds[rnd.IntN(len(kinds))], kinds[rnd.IntN(len(kinds))]})
	}
	for range samePairPhases {
		k := kinds[rnd.IntN(len(kinds))]
		out = append(out, []fault{k, k})
	}
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// RunFaults runs a deployment with faults. It returns an error when the run
// itself fails; violations are in the report.
func RunFaults(d *Deployment, seed uint64) (*FaultReport, error) {
	c, err := startCluster(d, clusterOptions{injectFaults: true, adaptSettings: func(s *settings.Settings) {
		s.Drain.Bound = 5 * time.Second
		s.Platform.VMListEvery = 200 * time.Millisecond
	}})
	if err != nil {
		return nil, err
	}
	defer c.stop()
	sender, err := newCaller()
	if err != nil {
		return nil, err
	}
	fr := &faultRun{cluster: c, sender: sender, reserved: map[*node]bool{}, faultCounts: map[string]int{}}
	rnd := rand.New(rand.NewPCG(seed, 2))
	stopLoad := fr.startLoad(seed)
	stopWatch := fr.watchVersions()
	for _, faults := range drawPhases(rnd) {
		fr.runPhase(faults, rnd)
	}
	stopLoad()
	stopWatch()
	if fr.err != nil {
		return nil, fr.err
	}
	return fr.report(seed)
}

// runPhase injects the faults concurrently, each with a random start and
// duration, and waits for all to end.
func (fr *faultRun) runPhase(faults []fault, rnd *rand.Rand) {
	var wait sync.WaitGroup
	for _, f := range faults {
		fr.faultCounts[f.name]++
		faultRnd := rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(faultRnd.Int64N(int64(minFaultDuration))))
			end := f.inject(fr, faultRnd)
			time.Sleep(minFaultDuration + time.Duration(faultRnd.Int64N(int64(maxFaultDuration-minFaultDuration))))
			end()
		}()
	}
	wait.Wait()
	time.Sleep(phaseGap)
}

// watchVersions polls the placement version of each daemon and counts
// decreases, until stop is called.
func (fr *faultRun) watchVersions() (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		highest := map[*daemon.Daemon]uint64{}
		for pause(time.Millisecond, done) {
			for _, n := range fr.cluster.nodes {
				d := n.currentDaemon()
				p := d.World.View.Placement()
				if p == nil {
					continue
				}
				if p.Version < highest[d] {
					fr.recordViolation(func(v *Violations) { v.ConfigReverts++ })
				}
				highest[d] = p.Version
			}
		}
	}()
	return func() {
		close(done)
		wait.Wait()
	}
}

func (fr *faultRun) report(seed uint64) (*FaultReport, error) {
	out := &FaultReport{
		Deployment: fr.cluster.deployment.Name, Seed: seed, Faults: fr.faultCounts,
		Races: fr.races, RacesLost: fr.racesLost, Outcomes: map[string]int{}, Violations: fr.violations,
	}
	counted, err := countViolations(fr.cluster, fr.outcomes)
	if err != nil {
		return nil, err
	}
	out.Crossed, out.Truncated, out.Doubled = counted.Crossed, counted.Truncated, counted.Doubled
	out.FalseNotRun, out.WrongPlace, out.BudgetOverruns = counted.FalseNotRun, counted.WrongPlace, counted.BudgetOverruns
	for i := range fr.outcomes {
		o := &fr.outcomes[i]
		out.Calls++
		if o.arrival.key != "" {
			out.NeverRepeat++
		}
		switch {
		case o.answered():
			out.Answered++
		case o.err == nil && o.ran == "no":
			out.NotRun++
		default:
			out.Unknown++
		}
		if !o.answered() {
			out.Outcomes[outcomeName(o)]++
		}
		if o.detail != "" {
			out.WrongAnswers = append(out.WrongAnswers, o.detail)
		}
	}
	return out, nil
}

// outcomeName returns the error kind of a call that was not answered.
func outcomeName(o *outcome) string {
	if o.err != nil {
		return "caller_error"
	}
	return o.errorKind
}

func faultsCommand() *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:   "faults FILE [FILE...]",
		Short: "Run deployments under load and inject faults, each alone, in pairs, and twice",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.withProfile(func() error { return runAllFaults(cmd.OutOrStdout(), args, f) })
		},
	}
	f.register(cmd)
	cmd.Flags().IntVar(&f.seeds, "seeds", 1, "number of seeds, starting with --seed")
	return cmd
}

func runAllFaults(out io.Writer, files []string, f *flags) error {
	violations, neverRepeat := 0, 0
	for _, file := range files {
		d, err := LoadDeployment(file)
		if err != nil {
			return err
		}
		for i := range f.seeds {
			r, err := RunFaults(d, f.seed+uint64(i))
			if err != nil {
				return errors.Wrapf(err, "%s, seed %d", file, f.seed+uint64(i))
			}
			printFaultReport(out, r)
			violations += r.TotalViolations()
			neverRepeat += r.NeverRepeat
		}
	}
	fmt.Fprintf(out, "%d never-repeat calls in all, %d violations\n", neverRepeat, violations)
	if violations > 0 {
		return ErrViolations
	}
	return nil
}

func printFaultReport(out io.Writer, r *FaultReport) {
	fmt.Fprintf(out, "%s, seed %d: %d calls (%d never-repeat), %d answered, %d not run, %d unknown; %d races, %d lost\n",
		r.Deployment, r.Seed, r.Calls, r.NeverRepeat, r.Answered, r.NotRun, r.Unknown, r.Races, r.RacesLost)
	printViolations(out, &r.Violations)
	for _, wrong := range r.WrongAnswers {
		fmt.Fprintf(out, "  wrong answer: %s\n", wrong)
	}
	fmt.Fprintf(out, "  faults: %s\n  outcomes: %s\n", formatCounts(r.Faults), formatCounts(r.Outcomes))
}

// formatCounts lists counts by name, sorted and separated by commas.
func formatCounts(m map[string]int) string {
	var out []string
	for _, k := range sortedKeys(m) {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}
