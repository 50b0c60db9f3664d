package runner

import (
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/gate"
)

// coldReportSlack is by how much a backend server may have been cold for longer than its
// words tell, in nanoseconds: they travel, and are said in whole milliseconds.
const coldReportSlack = int64(50 * time.Millisecond)

// UpdateCold takes over what the backend server last said of its being cold, and
// what the placement in force says it bears then. It returns false while there is
// no placement.
func (r *Runner) UpdateCold() bool {
	service, ok := r.service()
	if !ok {
		return false
	}
	said, s := r.lifecycle.ColdPeriod(), &r.Settings.Routing
	cold := gate.ColdState{Since: said.CheckedAt - coldReportSlack, Until: said.LatestEnd}
	if service.ColdRate > 0 {
		cold.MaxStartsPerSecond = max(int(s.ColdFactor*service.ColdRate+s.ColdSlack), 1)
	}
	now := r.Now()
	if now < said.LatestEnd {
		cold.Since = coldSince(now, &said, service.ColdFor) - coldReportSlack
	}
	r.logColdChange(now, cold)
	r.startAll(r.gate.SetColdState(now, cold))
	r.coldLimitSet.Store(true)
	return true
}

// coldSince is since when a backend server may be cold that said so. One that has
// longer to go than the placement tells may have been so at any time; one of which
// only a heartbeat tells, which may have been held back, since it was last asked.
func coldSince(now int64, said *backend.ColdPeriod, coldFor time.Duration) int64 {
	since := said.EarliestEnd - int64(coldFor)
	if since > now {
		since = now - int64(time.Second)
	}
	if said.FromHeartbeat {
		since = min(since, said.CheckedAt)
	}
	return since
}

// recheckCold has the backend server asked whether it is still warm, where many
// requests have started since it said so.
func (r *Runner) recheckCold(now int64) {
	if r.checker != nil && r.gate.NeedsColdCheck(now) {
		r.checker.Check(func() {})
	}
}

// logColdChange logs when the backend server becomes cold, or warm again.
func (r *Runner) logColdChange(now int64, cold gate.ColdState) {
	isCold := now < cold.Until
	if r.cold.Swap(isCold) == isCold {
		return
	}
	instance, _ := r.lifecycle.Current()
	r.Log.Event(events.BackendCold, events.F("instance", instance), events.F("cold", isCold),
		events.F("left", events.Milliseconds(time.Duration(max(cold.Until-now, 0)))), events.F("most_starts", cold.MaxStartsPerSecond))
}
