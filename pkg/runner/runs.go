package runner

import "sync"

// runSet are those under way at the backend server. It is safe for concurrent use.
type runSet struct {
	mu sync.Mutex
	// repeats says of each whether it repeats a run elsewhere, repeating counts those.
	repeats       map[*routedRun]bool
	repeating int
}

// add notes a run until the returned function is called.
func (r *runSet) add(run *routedRun, repeats bool) (ended func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.repeats == nil {
		r.repeats = map[*routedRun]bool{}
	}
	r.repeats[run] = repeats
	if repeats {
		r.repeating++
	}
	return func() { r.remove(run) }
}

func (r *runSet) remove(run *routedRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.repeats[run] {
		r.repeating--
	}
	delete(r.repeats, run)
}

// count is how many there are.
func (r *runSet) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.repeats)
}

// list returns those that there are.
func (r *runSet) list() []*routedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*routedRun, 0, len(r.repeats))
	for run := range r.repeats {
		out = append(out, run)
	}
	return out
}

// RepeatShare is the share of the runs at the backend server that repeat a run
// elsewhere: calls that these make count as repeats at the service they call.
func (r *Runner) RepeatShare() float64 {
	r.activeRuns.mu.Lock()
	defer r.activeRuns.mu.Unlock()
	if len(r.activeRuns.repeats) == 0 {
		return 0
	}
	return float64(r.activeRuns.repeating) / float64(len(r.activeRuns.repeats))
}

// CallFailed notes that a call of the backend server failed: a run under way may fail
// because of it.
func (r *Runner) CallFailed() { r.callFailedAt.Store(r.Now()) }

// recallQuarantined ends the runs of contents that are held back by now, so that the backend
// server may outlive them. Those that must not be repeated run on: they may be in the
// middle of what they do.
func (r *Runner) recallQuarantined() {
	version := r.Quarantine.Version()
	if r.checkedQuarantine == version {
		return
	}
	r.checkedQuarantine = version
	for _, run := range r.activeRuns.list() {
		if why := r.quarantineRefusal(run.call, run.body); why != nil && run.call.Routed.Repeatable {
			run.recall(why)
		}
	}
}
