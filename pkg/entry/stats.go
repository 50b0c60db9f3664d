package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// stats holds the entry's metrics. The number of label values is bounded: services and
// kinds come from the placement, outcomes from the closed list of error kinds.
type stats struct {
	set *metrics.Set
	// hedgeQuantile is the quantile of answer times after which a call is hedged.
	hedgeQuantile float64
	retries       *metrics.Counter
	softRefusals  *metrics.Counter
	hedges        *metrics.Counter
	addedLatency  *metrics.Histogram
	// byKind maps kindKey to *kindStats, served maps servedKey to *metrics.Histogram.
	byKind sync.Map
	served sync.Map
}

// kindKey names a kind of request in stats.byKind.
type kindKey struct{ service, kind string }

// servedKey holds the labels of a histogram in stats.served. An entry chooses among a
// subset of the servers, so a kind has some tens of them.
type servedKey struct{ service, kind, dataCentre, server, outcome string }

// kindStats holds the metrics of one kind of request.
type kindStats struct {
	seconds *metrics.Histogram
	// outcomes holds one counter for each error kind, indexed by errkind.Kind.
	outcomes []*metrics.Counter
	// hedgeAfter estimates the answer time after which a call of the kind is hedged.
	hedgeAfter *quantileEstimate
}

func newStats(set *metrics.Set, hedgeQuantile float64) *stats {
	return &stats{
		set:           set,
		hedgeQuantile: hedgeQuantile,
		retries:       set.NewCounter("rushramp_entry_retries_total"),
		softRefusals:  set.NewCounter("rushramp_entry_soft_refusals_total"),
		hedges:        set.NewCounter("rushramp_entry_hedges_total"),
		addedLatency:  set.NewHistogram("rushramp_entry_added_seconds"),
	}
}

// record updates the metrics at the end of a call; now is in nanoseconds of the
// daemon's clock. The added latency is the time spent in daemons: the whole time
// without that in the gate's queue, at the backend server and on the network.
func (s *stats) record(admitted *AdmittedCall, result call.Result, now int64) {
	took := time.Duration(now - admitted.startedAt)
	outcome := errkind.None
	if result.Refusal != nil {
		outcome = result.Refusal.Kind
	}
	kind := s.forCall(admitted)
	kind.outcomes[outcome].Inc()
	kind.seconds.Update(took.Seconds())
	s.servedHistogram(admitted, result, outcome).Update(took.Seconds())
	if result.Answer != nil {
		kind.hedgeAfter.add(took)
		s.addedLatency.Update(max(took-result.Answer.Queued-result.Answer.Run-result.MinRTT, 0).Seconds())
	}
}

// servedHistogram returns the histogram of call times, in seconds, for the backend
// server and the outcome of a call. rushramp-burn reads this metric.
func (s *stats) servedHistogram(admitted *AdmittedCall, result call.Result, outcome errkind.Kind) *metrics.Histogram {
	key := servedKey{admitted.Request.Service, admitted.KindView.Kind.Name, result.DataCentre, result.Server, "answered"}
	switch {
	case outcome != errkind.None:
		key.outcome = outcome.String()
	case result.Answer.Status >= 500:
		key.outcome = "backend_error"
	}
	if h, ok := s.served.Load(key); ok {
		return h.(*metrics.Histogram)
	}
	h := s.set.GetOrCreateHistogram(fmt.Sprintf("rushramp_served_seconds{service=%q,kind=%q,data_centre=%q,server=%q,outcome=%q}",
		key.service, key.kind, key.dataCentre, key.server, key.outcome))
	s.served.Store(key, h)
	return h
}

// forCall returns the metrics for the kind of a call.
func (s *stats) forCall(admitted *AdmittedCall) *kindStats {
	return s.forKind(kindKey{admitted.Request.Service, admitted.KindView.Kind.Name})
}

// forKind returns the metrics of a kind, and makes them for its first call.
func (s *stats) forKind(key kindKey) *kindStats {
	if k, ok := s.byKind.Load(key); ok {
		return k.(*kindStats)
	}
	k, _ := s.byKind.LoadOrStore(key, s.newKindStats(key))
	return k.(*kindStats)
}

func (s *stats) newKindStats(key kindKey) *kindStats {
	labels := fmt.Sprintf("service=%q,kind=%q", key.service, key.kind)
	out := &kindStats{hedgeAfter: newQuantileEstimate(s.hedgeQuantile), seconds: s.set.GetOrCreateHistogram("rushramp_call_seconds{" + labels + "}")}
	for _, row := range errkind.Table() {
		counter := s.set.GetOrCreateCounter(fmt.Sprintf("rushramp_calls_total{%s,outcome=%q}", labels, row.Name))
		out.outcomes = append(out.outcomes, counter)
	}
	return out
}

// Counts holds totals since the start of the daemon.
type Counts struct {
	Retries, SoftRefusals, Hedges uint64
}

// Counts returns the entry's totals.
func (e *Entry) Counts() Counts {
	return Counts{Retries: e.stats.retries.Get(), SoftRefusals: e.stats.softRefusals.Get(), Hedges: e.stats.hedges.Get()}
}

// AddedLatency returns the histogram of the time, in seconds, that daemons add to an
// answered call.
func (e *Entry) AddedLatency() *metrics.Histogram { return e.stats.addedLatency }
