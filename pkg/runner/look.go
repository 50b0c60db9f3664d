package runner

// looksFirst has the backend server asked how fast it is now, where the request
// could start and the newest word on that is old: a run keeps the speed of the
// moment at which it starts. The request is admitted when the answer is there;
// false: nothing is asked, and the caller admits it.
func (r *Runner) looksFirst(now int64, run *routedRun) bool {
	if r.checker == nil || r.load.Age(now) < r.Settings.Routing.LookAfter || !r.gate.HasRoom(now) {
		return false
	}
	return r.checker.Check(run.admit)
}
