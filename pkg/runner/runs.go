package runner

import "sync"

// runs are those under way at the backend server. It is safe for concurrent use.
type runs struct {
	mu sync.Mutex
	// all says of each whether it repeats a run elsewhere, repeating counts those.
	all       map[*routedRun]bool
	repeating int
}

// add notes a run until the returned function is called.
func (r *runs) add(run *routedRun, repeats bool) (ended func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[*routedRun]bool{}
	}
	r.all[run] = repeats
	if repeats {
		r.repeating++
	}
	return func() { r.remove(run) }
}

func (r *runs) remove(run *routedRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all[run] {
		r.repeating--
	}
	delete(r.all, run)
}

// count is how many there are.
func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// list returns those that there are.
func (r *runs) list() []*routedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*routedRun, 0, len(r.all))
	for run := range r.all {
		out = append(out, run)
	}
	return out
}

// RepeatShare is the share of the runs at the backend server that repeat a run
// elsewhere: calls that these make count as repeats at the service they call.
func (r *Runner) RepeatShare() float64 {
	r.runs.mu.Lock()
	defer r.runs.mu.Unlock()
	if len(r.runs.all) == 0 {
		return 0
	}
	return float64(r.runs.repeating) / float64(len(r.runs.all))
}

// CallFailed notes that a call of the backend server failed: a run under way may fail
// because of it.
func (r *Runner) CallFailed() { r.callFailedAt.Store(r.Now()) }

// recallHeld ends the runs of contents that are held back by now, so that the backend
// server may outlive them. Those that must not be repeated run on: they may be in the
// middle of what they do.
func (r *Runner) recallHeld() {
	version := r.Quarantine.Version()
	if r.quarantineSeen == version {
		return
	}
	r.quarantineSeen = version
	for _, run := range r.runs.list() {
		if why := r.heldBack(run.call, run.body); why != nil && run.call.Routed.Repeatable {
			run.recall(why)
		}
	}
}
