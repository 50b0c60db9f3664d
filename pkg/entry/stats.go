package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// stats are the entry's metrics. Labels are bounded: services and kinds come
// from the placement, error kinds from the closed list.
type stats struct {
	set          *metrics.Set
	quantile     float64
	retries      *metrics.Counter
	softRefusals *metrics.Counter
	hedges       *metrics.Counter
	added        *metrics.Histogram
	byKind       sync.Map
	served       sync.Map
}

// kindName is a key of byKind.
type kindName struct{ service, kind string }

// servedName is a key of served. Servers are those of this entry's subsets, so
// there are some tens of them.
type servedName struct{ service, kind, dataCentre, server, outcome string }

// kindStats are the metrics of one kind of request.
type kindStats struct {
	seconds  *metrics.Histogram
	outcomes []*metrics.Counter
	// quantile is the answer time after which a call of the kind is slow.
	quantile *quantile
}

func newStats(set *metrics.Set, hedgeQuantile float64) *stats {
	return &stats{
		set:          set,
		quantile:     hedgeQuantile,
		retries:      set.NewCounter("rushramp_entry_retries_total"),
		softRefusals: set.NewCounter("rushramp_entry_soft_refusals_total"),
		hedges:       set.NewCounter("rushramp_entry_hedges_total"),
		added:        set.NewHistogram("rushramp_entry_added_seconds"),
	}
}

// note records how a call ended. The time in daemons is the whole time less
// that at the gate's queue, at the backend server, and on the network.
func (s *stats) note(plan *AdmittedCall, result call.Result, now int64) {
	took := time.Duration(now - plan.began)
	outcome := errkind.None
	if result.Refusal != nil {
		outcome = result.Refusal.Kind
	}
	kind := s.kindOf(plan)
	kind.outcomes[outcome].Inc()
	kind.seconds.Update(took.Seconds())
	s.servedBy(plan, result, outcome).Update(took.Seconds())
	if result.Answer != nil {
		kind.quantile.note(took)
		s.added.Update(max(took-result.Answer.Queued-result.Answer.Run-result.MinRTT, 0).Seconds())
	}
}

// servedBy is the metric that rushramp-burn reads.
func (s *stats) servedBy(plan *AdmittedCall, result call.Result, outcome errkind.Kind) *metrics.Histogram {
	name := servedName{plan.Request.Service, plan.KindView.Kind.Name, result.DataCentre, result.Server, "answered"}
	switch {
	case outcome != errkind.None:
		name.outcome = outcome.String()
	case result.Answer.Status >= 500:
		name.outcome = "backend_error"
	}
	if h, ok := s.served.Load(name); ok {
		return h.(*metrics.Histogram)
	}
	h := s.set.GetOrCreateHistogram(fmt.Sprintf("rushramp_served_seconds{service=%q,kind=%q,data_centre=%q,server=%q,outcome=%q}",
		name.service, name.kind, name.dataCentre, name.server, name.outcome))
	s.served.Store(name, h)
	return h
}

func (s *stats) kindOf(plan *AdmittedCall) *kindStats {
	return s.kind(kindName{plan.Request.Service, plan.KindView.Kind.Name})
}

func (s *stats) kind(name kindName) *kindStats {
	if k, ok := s.byKind.Load(name); ok {
		return k.(*kindStats)
	}
	k, _ := s.byKind.LoadOrStore(name, s.newKind(name))
	return k.(*kindStats)
}

func (s *stats) newKind(name kindName) *kindStats {
	labels := fmt.Sprintf("service=%q,kind=%q", name.service, name.kind)
	out := &kindStats{quantile: newQuantile(s.quantile), seconds: s.set.GetOrCreateHistogram("rushramp_call_seconds{" + labels + "}")}
	for _, row := range errkind.Table() {
		counter := s.set.GetOrCreateCounter(fmt.Sprintf("rushramp_calls_total{%s,outcome=%q}", labels, row.Name))
		out.outcomes = append(out.outcomes, counter)
	}
	return out
}

// Counts are totals since the daemon's start.
type Counts struct {
	Retries, SoftRefusals, Hedges uint64
}

// Counts returns the entry's totals.
func (e *Entry) Counts() Counts {
	return Counts{Retries: e.stats.retries.Get(), SoftRefusals: e.stats.softRefusals.Get(), Hedges: e.stats.hedges.Get()}
}

// AddedLatency returns the metric of the time spent in daemons.
func (e *Entry) AddedLatency() *metrics.Histogram { return e.stats.added }
