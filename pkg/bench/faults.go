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

// The times of a drill's phases.
const (
	faultLeast = 300 * time.Millisecond
	faultMost  = 1200 * time.Millisecond
	phaseGap   = 400 * time.Millisecond
	// drillPairs and drillTwice are how many phases have two faults at once,
	// and the same fault twice.
	drillPairs = 10
	drillTwice = 4
)

// drill runs a deployment under load while faults come, each alone, in pairs,
// and twice, in an order that the seed gives.
type drill struct {
	cluster *cluster
	sender  *caller

	mu        sync.Mutex
	busy      map[*node]bool
	promises  Violations
	outcomes  []outcome
	seen      map[string]int
	races     int
	racesLost int
	failure   error
}

// FaultReport is the outcome of a drill.
type FaultReport struct {
	Deployment  string         `json:"deployment"`
	Seed        uint64         `json:"seed"`
	Calls       int            `json:"calls"`
	NeverRepeat int            `json:"never_repeat_calls"`
	Answered    int            `json:"answered"`
	NotRun      int            `json:"refused_not_run"`
	Unknown     int            `json:"outcome_unknown"`
	Faults      map[string]int `json:"faults"`
	Races       int            `json:"races"`
	RacesLost   int            `json:"races_lost"`
	Outcomes    map[string]int `json:"outcomes"`
	// WrongAnswers describes answers that were crossed or truncated.
	WrongAnswers []string `json:"wrong"`
	Violations
}

func (dr *drill) note(change func(*Violations)) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	change(&dr.promises)
}

func (dr *drill) fail(err error) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.failure == nil {
		dr.failure = err
	}
}

// phases are the faults of each phase.
func phases(rnd *rand.Rand) [][]fault {
	kinds := faultKinds()
	var out [][]fault
	for _, k := range kinds {
		out = append(out, []fault{k})
	}
	for range drillPairs {
		out = append(out, []fault{kinds[rnd.IntN(len(kinds))], kinds[rnd.IntN(len(kinds))]})
	}
	for range drillTwice {
		k := kinds[rnd.IntN(len(kinds))]
		out = append(out, []fault{k, k})
	}
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// RunFaults runs one drill.
func RunFaults(d *Deployment, seed uint64) (*FaultReport, error) {
	c, err := startCluster(d, clusterOptions{faulty: true, change: func(s *settings.Settings) {
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
	dr := &drill{cluster: c, sender: sender, busy: map[*node]bool{}, seen: map[string]int{}}
	rnd := rand.New(rand.NewPCG(seed, 2))
	stopLoad := dr.startLoad(seed)
	stopWatch := dr.watchVersions()
	for _, faults := range phases(rnd) {
		dr.phase(faults, rnd)
	}
	stopLoad()
	stopWatch()
	if dr.failure != nil {
		return nil, dr.failure
	}
	return dr.report(seed)
}

// phase brings faults about, each at its own time and for its own time.
func (dr *drill) phase(faults []fault, rnd *rand.Rand) {
	var wait sync.WaitGroup
	for _, f := range faults {
		dr.seen[f.name]++
		own := rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(own.Int64N(int64(faultLeast))))
			end := f.begin(dr, own)
			time.Sleep(faultLeast + time.Duration(own.Int64N(int64(faultMost-faultLeast))))
			end()
		}()
	}
	wait.Wait()
	time.Sleep(phaseGap)
}

// watchVersions looks at each daemon's placement version all the time.
func (dr *drill) watchVersions() (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		highest := map[*daemon.Daemon]uint64{}
		for pause(time.Millisecond, done) {
			for _, n := range dr.cluster.nodes {
				d := n.current()
				p := d.World.View.Placement()
				if p == nil {
					continue
				}
				if p.Version < highest[d] {
					dr.note(func(p *Violations) { p.ConfigReverts++ })
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

func (dr *drill) report(seed uint64) (*FaultReport, error) {
	out := &FaultReport{
		Deployment: dr.cluster.deployment.Name, Seed: seed, Faults: dr.seen,
		Races: dr.races, RacesLost: dr.racesLost, Outcomes: map[string]int{}, Violations: dr.promises,
	}
	found, err := checkPromises(dr.cluster, dr.outcomes)
	if err != nil {
		return nil, err
	}
	out.Crossed, out.Truncated, out.Doubled = found.Crossed, found.Truncated, found.Doubled
	out.FalseNotRun, out.WrongPlace, out.BudgetOverruns = found.FalseNotRun, found.WrongPlace, found.BudgetOverruns
	for i := range dr.outcomes {
		o := &dr.outcomes[i]
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
			out.Outcomes[nameOf(o)]++
		}
		if o.detail != "" {
			out.WrongAnswers = append(out.WrongAnswers, o.detail)
		}
	}
	return out, nil
}

func nameOf(o *outcome) string {
	if o.err != nil {
		return "caller_error"
	}
	return o.kind
}

func faultsCommand() *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:   "faults FILE [FILE...]",
		Short: "Run deployments under load with the brief's failures, each alone, in pairs, and twice",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.profiled(func() error { return drillAll(cmd.OutOrStdout(), args, f) })
		},
	}
	f.register(cmd)
	cmd.Flags().IntVar(&f.seeds, "seeds", 1, "how many seeds, from --seed on")
	return cmd
}

func drillAll(out io.Writer, files []string, f *flags) error {
	broken, never := 0, 0
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
			printDrill(out, r)
			broken += r.TotalViolations()
			never += r.NeverRepeat
		}
	}
	fmt.Fprintf(out, "%d never-repeat calls in all, %d promises broken\n", never, broken)
	if broken > 0 {
		return ErrViolations
	}
	return nil
}

func printDrill(out io.Writer, r *FaultReport) {
	fmt.Fprintf(out, "%s, seed %d: %d calls (%d never-repeat), %d answered, %d not run, %d unknown; %d races, %d lost\n",
		r.Deployment, r.Seed, r.Calls, r.NeverRepeat, r.Answered, r.NotRun, r.Unknown, r.Races, r.RacesLost)
	printPromises(out, &r.Violations)
	for _, wrong := range r.WrongAnswers {
		fmt.Fprintf(out, "  wrong answer: %s\n", wrong)
	}
	fmt.Fprintf(out, "  faults: %s\n  outcomes: %s\n", counts(r.Faults), counts(r.Outcomes))
}

func counts(m map[string]int) string {
	var out []string
	for _, k := range sortedKeys(m) {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}
