package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Stats summarises the calls of a run, a service or a kind. Times are in
// microseconds. P50, P99 and P999 are percentiles of the latency, WaitP50,
// WaitP99 and WaitP999 of the wait, which is the latency minus the call's
// nominal service time.
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
	// AddedP99 is the time spent in daemons by their own clocks.
	// AddedOutsideP99 is the same as seen by the caller: the latency minus the
	// nominal service time. The latter includes the network and the time of the
	// stand-ins and the caller.
	AddedP99        int64 `json:"added_p99_us"`
	AddedOutsideP99 int64 `json:"added_outside_p99_us"`
	// Failed counts answers of backend servers with status 500 or more.
	Failed int `json:"failed"`
}

// Report is the report of a run.
type Report struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	Daemons    int    `json:"daemons"`
	Stats
	Violations
	Overhead
	Services map[string]Stats `json:"services"`
	// Kinds holds the figures by "service/kind".
	Kinds map[string]Stats `json:"kinds"`
	// Outcomes counts unanswered calls by error kind.
	Outcomes map[string]int `json:"outcomes"`
	// MaxOverMean is, by service, the most runs of one server divided by the
	// mean.
	MaxOverMean map[string]float64 `json:"max_over_mean"`
	// Shares is, by VM, the share of its service's runs.
	Shares map[string]float64 `json:"shares"`
	// StoreWrites and StoreReads count requests to the platform during the
	// load.
	StoreWrites int64 `json:"store_writes"`
	StoreReads  int64 `json:"store_reads"`
}

// Overhead is the cost of the control plane and of load measurement, per daemon.
type Overhead struct {
	MeasureBytes    float64 `json:"measure_bytes_per_s"`
	MeasureMessages float64 `json:"measure_msgs_per_s"`
	// ControlCPU is the CPU time used before the load begins, in percent of a
	// core.
	ControlCPU float64 `json:"control_cpu_percent"`
	// RSS is the process's resident memory in MiB divided by the number of
	// daemons; it includes the stand-ins and the load.
	RSS float64 `json:"rss_mb"`
}

// Range and precision of the latency histograms.
const (
	lowestUS          = 1
	highestUS         = 60_000_000
	significantDigits = 3
)

// statsCollector collects the figures of a group of calls.
type statsCollector struct {
	stats   Stats
	latency *hdrhistogram.Histogram
	wait    *hdrhistogram.Histogram
	added   *hdrhistogram.Histogram
}

func newStatsCollector() *statsCollector {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestUS, highestUS, significantDigits) }
	return &statsCollector{latency: newHistogram(), wait: newHistogram(), added: newHistogram()}
}

// add records a call. The time network is subtracted from the added time of the
// call.
func (sc *statsCollector) add(o *outcome, network time.Duration) {
	stats := &sc.stats
	stats.Calls++
	switch {
	case o.answered():
		stats.Answered++
	case o.err == nil && o.ran == "no":
		stats.RefusedNotRun++
	default:
		stats.OutcomeUnknown++
	}
	if !o.answered() {
		return
	}
	if o.status >= 500 {
		stats.Failed++
	}
	wait := max(o.latency-o.arrival.serviceTime, 0)
	recordMicroseconds(sc.latency, o.latency)
	recordMicroseconds(sc.wait, wait)
	recordMicroseconds(sc.added, max(wait-network, 0))
}

// recordMicroseconds adds a duration to a histogram, limited to its range.
func recordMicroseconds(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestUS), highestUS))
}

func (sc *statsCollector) finish() Stats {
	stats := sc.stats
	stats.P50, stats.P99, stats.P999 = sc.latency.ValueAtQuantile(50), sc.latency.ValueAtQuantile(99), sc.latency.ValueAtQuantile(99.9)
	stats.WaitP50, stats.WaitP99, stats.WaitP999 = sc.wait.ValueAtQuantile(50), sc.wait.ValueAtQuantile(99), sc.wait.ValueAtQuantile(99.9)
	stats.AddedOutsideP99 = sc.added.ValueAtQuantile(99)
	return stats
}

func newReport(c *cluster, opts Options, arrivals []arrival, outcomes []outcome, before counters, idle float64) (*Report, error) {
	all, byService, byKind := newStatsCollector(), map[string]*statsCollector{}, map[string]*statsCollector{}
	out := &Report{
		Deployment: c.deployment.Name, Policy: opts.Policy, Seed: opts.Seed, Daemons: len(c.nodes),
		Services: map[string]Stats{}, Kinds: map[string]Stats{}, Outcomes: map[string]int{}, MaxOverMean: map[string]float64{}, Shares: map[string]float64{},
	}
	for i := range outcomes {
		o := &outcomes[i]
		// The path that a call took is unknown, so no network time is subtracted.
		all.add(o, 0)
		collectorFor(byService, o.arrival.service.Name).add(o, 0)
		collectorFor(byKind, o.arrival.service.Name+"/"+o.arrival.kind.Placement.Name).add(o, 0)
		out.countOutcome(o)
	}
	out.Stats = all.finish()
	finishAll(byService, out.Services)
	finishAll(byKind, out.Kinds)
	after := c.counters()
	out.fillCounters(before, after, len(arrivals))
	out.AddedP99 = after.addedP99.Microseconds()
	violations, err := countViolations(c, outcomes)
	if err != nil {
		return nil, err
	}
	out.Violations = violations
	out.fillServerShares(c)
	out.ControlCPU = idle
	out.RSS = residentMB() / float64(len(c.nodes))
	return out, nil
}

// collectorFor returns the collector of that name, a new one if necessary.
func collectorFor(by map[string]*statsCollector, name string) *statsCollector {
	if by[name] == nil {
		by[name] = newStatsCollector()
	}
	return by[name]
}

func finishAll(from map[string]*statsCollector, to map[string]Stats) {
	for name, collector := range from {
		to[name] = collector.finish()
	}
}

func (r *Report) countOutcome(o *outcome) {
	switch {
	case o.err != nil:
		r.Outcomes["caller_error"]++
	case o.errorKind != "":
		r.Outcomes[o.errorKind]++
	}
}

// fillCounters sets the rates that come from the daemons' and the store's
// counters.
func (r *Report) fillCounters(before, after counters, calls int) {
	n := float64(max(calls, 1))
	softRefusals := float64(after.softRefusals - before.softRefusals)
	retries := float64(after.retries - before.retries)
	r.Refusals = (softRefusals + retries) / n
	r.Retries = retries / n
	r.Hedges = float64(after.hedges-before.hedges) / n
	seconds := after.at.Sub(before.at).Seconds()
	daemons := float64(r.Daemons)
	r.MeasureBytes = float64(after.measureBytes-before.measureBytes) / seconds / daemons
	// 0 unless load reports get messages of their own; they are part of answers.
	r.MeasureMessages = float64(after.measureMessages-before.measureMessages) / seconds / daemons
	r.StoreReads = after.storeReads - before.storeReads
	r.StoreWrites = after.storeWrites - before.storeWrites
}

// fillServerShares sets how a service's runs are spread over its servers.
func (r *Report) fillServerShares(c *cluster) {
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
