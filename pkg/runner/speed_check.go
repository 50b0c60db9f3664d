package runner

import "time"

// heldCheckInterval is the time between health checks while starts are held until a
// slow period of the backend server ends. On average they delay a start by half of it,
// a tenth of the shortest work on the users' sites.
const heldCheckInterval = 15 * time.Millisecond

// checkSpeedFirst starts a health check before the admission of a request that could
// start at once, if the last known speed of the backend server is so old that the run
// may take longer than expected, since a run keeps the speed that it starts with. It returns
// true if the request is admitted after the check; if false, the caller admits it.
func (r *Runner) checkSpeedFirst(now int64, run *routedRun) bool {
	if r.checker == nil || r.gate.StalenessCost(now, &run.job) < r.Settings.Routing.LookCost {
		return false
	}
	if !r.checker.Check(run.admit) {
		return false
	}
	r.speedChecks.Inc()
	return true
}

// scheduleSpeedCheck schedules a health check if starts are held until a slow period
// ends. Its result starts them or schedules the next check.
func (r *Runner) scheduleSpeedCheck() {
	if r.checker == nil || !r.gate.AwaitsReport(r.Now()) || r.speedCheckDue.Swap(true) {
		return
	}
	time.AfterFunc(heldCheckInterval, func() {
		r.speedCheckDue.Store(false)
		if r.load.Age(r.Now()) >= heldCheckInterval/2 && r.checker.Check(r.scheduleSpeedCheck) {
			return
		}
		r.scheduleSpeedCheck()
	})
}
