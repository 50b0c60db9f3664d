package runner

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/settings"
)

// coldReportSlack is how much earlier than reported a backend server may have become
// cold, in nanoseconds: reports take time to arrive and are in whole milliseconds.
const coldReportSlack = int64(50 * time.Millisecond)

// UpdateColdState passes the gate the cold period that the backend server reported, and
// the limit of starts per second in that period, which follows from the placement in
// force. It returns false if there is no placement yet.
func (r *Runner) UpdateColdState() bool {
	service, ok := r.service()
	if !ok {
		return false
	}
	period, s := r.lifecycle.ColdPeriod(), &r.Settings.Routing
	cold := gate.ColdState{Since: period.CheckedAt - coldReportSlack, Until: period.LatestEnd}
	if service.ColdRate > 0 {
		cold.MaxStartsPerSecond = maxColdStarts(s, service.ColdRate)
	}
	now := r.Now()
	if now < period.LatestEnd {
		cold.Since = coldSince(now, &period, service.ColdFor) - coldReportSlack
	}
	r.logColdChange(now, cold)
	r.startAll(r.gate.SetColdState(now, cold))
	r.coldLimitSet.Store(true)
	return true
}

// maxColdStarts returns the limit of starts per second of a cold backend server that can handle
// rate requests per second.
func maxColdStarts(s *settings.Routing, rate float64) int {
	return int(min(max(s.ColdFactor*rate+s.ColdSlack, 1), math.MaxInt32))
}

// coldSince returns the earliest time at which a cold backend server may have become
// cold. coldFor is the length of a cold period according to the placement. If the backend
// server reports a longer period, its start cannot be computed and is assumed to be one
// second ago. If only a heartbeat, which may be old, reports the period, it may have begun
// right after the last health check.
func coldSince(now int64, period *backend.ColdPeriod, coldFor time.Duration) int64 {
	since := period.EarliestEnd - int64(coldFor)
	if since > now {
		since = now - int64(time.Second)
	}
	if period.FromHeartbeat {
		since = min(since, period.CheckedAt)
	}
	return since
}

// recheckCold starts a health check if many requests have started since the backend
// server was last found warm: it may have become cold again.
func (r *Runner) recheckCold(now int64) {
	if r.checker != nil && r.gate.NeedsColdCheck(now) {
		r.checker.Check(func() {})
	}
}

// logColdChange logs when the backend server becomes cold or warm.
func (r *Runner) logColdChange(now int64, cold gate.ColdState) {
	isCold := now < cold.Until
	if r.cold.Swap(isCold) == isCold {
		return
	}
	incarnation, _ := r.lifecycle.Current()
	r.Log.Event(events.BackendCold, events.F("instance", incarnation), events.F("cold", isCold),
		events.F("left", events.Milliseconds(time.Duration(max(cold.Until-now, 0)))), events.F("most_starts", cold.MaxStartsPerSecond))
}
