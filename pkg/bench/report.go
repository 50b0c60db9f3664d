package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Stats are the measures of a run or of one service of it. Times are in
// microseconds; a wait is a latency less the call's own nominal service time.
type Stats struct {
	Calls          int     `json:"calls"`
	Answered       int     `json:"answered"`
	RefusedNotRun  int     `json:"refused_not_run"`
	OutcomeUnknown int     `json:"outcome_unknown"`
	P50            int64   `json:"p50_us"`
	P99            int64   `json:"p99_us"`
	P999           int64   `json:"p999_us"`
	WaitP50        int64   `json:"wait_p50_us"`
	WaitP99        int64   `json:"wait_p99_us"`
	WaitP999       int64   `json:"wait_p999_us"`
	Refusals       float64 `json:"refusals_per_call"`
	Retries        float64 `json:"retries_per_call"`
	Hedges         float64 `json:"hedges_per_call"`
	// AddedP99 is the time in daemons by their own clocks, AddedOutsideP99 the
	// same seen from outside: the whole less the nominal run and the configured
	// network. The latter holds the stand-ins' and the caller's own time too.
	AddedP99        int64 `json:"added_p99_us"`
	AddedOutsideP99 int64 `json:"added_outside_p99_us"`
	// Failed counts answers of backend servers with status 500 or more.
	Failed int `json:"failed"`
}

// Report is the outcome of a run.
type Report struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	Daemons    int    `json:"daemons"`
	Stats
	Violations
	Overhead
	Services map[string]Stats `json:"services"`
	// Kinds are the figures by "service/kind".
	Kinds map[string]Stats `json:"kinds"`
	// Outcomes counts rushramp's own answers by kind.
	Outcomes map[string]int `json:"outcomes"`
	// MaxOverMean is, by service, the most runs of one server over the mean.
	MaxOverMean map[string]float64 `json:"max_over_mean"`
	// Shares is the part of a service's runs that each server took.
	Shares map[string]float64 `json:"shares"`
	// StoreWrites and StoreReads are requests to the platform during the load.
	StoreWrites int64 `json:"store_writes"`
	StoreReads  int64 `json:"store_reads"`
}

// Overhead is the cost of control and of measuring, per daemon.
type Overhead struct {
	MeasureBytes    float64 `json:"measure_bytes_per_s"`
	MeasureMessages float64 `json:"measure_msgs_per_s"`
	// ControlCPU is taken before the load begins, as a share of one core.
	ControlCPU float64 `json:"control_cpu_percent"`
	// RSS is the process's resident memory over its daemons: stand-ins and the
	// load are in it.
	RSS float64 `json:"rss_mb"`
}

// The range of the histograms, in microseconds.
const (
	lowestUS  = 1
	highestUS = 60_000_000
	digits    = 3
)

// tally gathers the figures of one group of calls.
type tally struct {
	figures Stats
	whole   *hdrhistogram.Histogram
	wait    *hdrhistogram.Histogram
	added   *hdrhistogram.Histogram
}

func newTally() *tally {
	fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestUS, highestUS, digits) }
	return &tally{whole: fresh(), wait: fresh(), added: fresh()}
}

func (t *tally) add(o *outcome, network time.Duration) {
	f := &t.figures
	f.Calls++
	switch {
	case o.answered():
		f.Answered++
	case o.err == nil && o.ran == "no":
		f.RefusedNotRun++
	default:
		f.OutcomeUnknown++
	}
	if !o.answered() {
		return
	}
	if o.status >= 500 {
		f.Failed++
	}
	wait := max(o.whole-o.arrival.nominal, 0)
	record(t.whole, o.whole)
	record(t.wait, wait)
	record(t.added, max(wait-network, 0))
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The bounds of the histogram are the bench's own; a value beyond is the most.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestUS), highestUS))
}

func (t *tally) finish() Stats {
	f := t.figures
	f.P50, f.P99, f.P999 = t.whole.ValueAtQuantile(50), t.whole.ValueAtQuantile(99), t.whole.ValueAtQuantile(99.9)
	f.WaitP50, f.WaitP99, f.WaitP999 = t.wait.ValueAtQuantile(50), t.wait.ValueAtQuantile(99), t.wait.ValueAtQuantile(99.9)
	f.AddedOutsideP99 = t.added.ValueAtQuantile(99)
	return f
}

func newReport(c *cluster, opts Options, arrivals []arrival, outcomes []outcome, before counters, idle float64) (*Report, error) {
	all, byService, byKind := newTally(), map[string]*tally{}, map[string]*tally{}
	out := &Report{
		Deployment: c.deployment.Name, Policy: opts.Policy, Seed: opts.Seed, Daemons: len(c.nodes),
		Services: map[string]Stats{}, Kinds: map[string]Stats{}, Outcomes: map[string]int{}, MaxOverMean: map[string]float64{}, Shares: map[string]float64{},
	}
	for i := range outcomes {
		o := &outcomes[i]
		// Without knowing the way taken, the network is counted as none.
		all.add(o, 0)
		tallyOf(byService, o.arrival.service.Name).add(o, 0)
		tallyOf(byKind, o.arrival.service.Name+"/"+o.arrival.kind.Placement.Name).add(o, 0)
		out.countOutcome(o)
	}
	out.Stats = all.finish()
	finishAll(byService, out.Services)
	finishAll(byKind, out.Kinds)
	after := c.counters()
	out.fillCounters(before, after, len(arrivals))
	out.AddedP99 = after.addedP99.Microseconds()
	promises, err := checkPromises(c, outcomes)
	if err != nil {
		return nil, err
	}
	out.Violations = promises
	out.fillSpread(c)
	out.ControlCPU = idle
	out.RSS = residentMB() / float64(len(c.nodes))
	return out, nil
}

func tallyOf(by map[string]*tally, name string) *tally {
	if by[name] == nil {
		by[name] = newTally()
	}
	return by[name]
}

func finishAll(from map[string]*tally, to map[string]Stats) {
	for name, t := range from {
		to[name] = t.finish()
	}
}

func (r *Report) countOutcome(o *outcome) {
	switch {
	case o.err != nil:
		r.Outcomes["caller_error"]++
	case o.kind != "":
		r.Outcomes[o.kind]++
	}
}

func (r *Report) fillCounters(before, after counters, calls int) {
	n := float64(max(calls, 1))
	soft := float64(after.softRefusals - before.softRefusals)
	retries := float64(after.retries - before.retries)
	r.Refusals = (soft + retries) / n
	r.Retries = retries / n
	r.Hedges = float64(after.hedges-before.hedges) / n
	seconds := after.at.Sub(before.at).Seconds()
	daemons := float64(r.Daemons)
	r.MeasureBytes = float64(after.measureBytes-before.measureBytes) / seconds / daemons
	// Load reports ride on answers; none has a message of its own.
	r.MeasureMessages = float64(after.measureMsgs-before.measureMsgs) / seconds / daemons
	r.StoreReads = after.storeReads - before.storeReads
	r.StoreWrites = after.storeWrites - before.storeWrites
}

func (r *Report) fillSpread(c *cluster) {
	runs := map[string][]int{}
	names := map[string][]string{}
	for _, n := range c.nodes {
		if n.backend != nil {
			runs[n.vm.Service] = append(runs[n.vm.Service], len(n.backend.Ledger().Runs()))
			names[n.vm.Service] = append(names[n.vm.Service], n.vm.ID)
		}
	}
	for service, counts := range runs {
		sum, most := 0, 0
		for _, count := range counts {
			sum += count
			most = max(most, count)
		}
		if sum == 0 {
			continue
		}
		r.MaxOverMean[service] = float64(most) * float64(len(counts)) / float64(sum)
		for i, count := range counts {
			r.Shares[names[service][i]] = float64(count) / float64(sum)
		}
	}
}
