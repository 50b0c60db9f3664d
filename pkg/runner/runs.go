package runner

import "sync"

// runSet is the set of runs that are under way at the backend server. It is safe for
// concurrent use.
type runSet struct {
	mu sync.Mutex
	// isRepeat maps each run to whether it repeats one at another backend server;
	// repeating is the number of those that do.
	isRepeat  map[*routedRun]bool
	repeating int
}

// add adds a run and returns the function to call when it has ended, which removes it.
func (r *runSet) add(run *routedRun, repeats bool) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRepeat == nil {
		r.isRepeat = map[*routedRun]bool{}
	}
	r.isRepeat[run] = repeats
	if repeats {
		r.repeating++
	}
	return func() { r.remove(run) }
}

func (r *runSet) remove(run *routedRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRepeat[run] {
		r.repeating--
	}
	delete(r.isRepeat, run)
}

// count returns the number of runs.
func (r *runSet) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.isRepeat)
}

// list returns the runs.
func (r *runSet) list() []*routedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*routedRun, 0, len(r.isRepeat))
	for run := range r.isRepeat {
		out = append(out, run)
	}
	return out
}

// RepeatShare returns the share of the runs at the backend server that repeat a run at
// another one, from 0 to 1. Calls that such runs make count as repeats at the service
// they call.
func (r *Runner) RepeatShare() float64 {
	r.activeRuns.mu.Lock()
	defer r.activeRuns.mu.Unlock()
	if len(r.activeRuns.isRepeat) == 0 {
		return 0
	}
	return float64(r.activeRuns.repeating) / float64(len(r.activeRuns.isRepeat))
}

// RecordFailedCall records that a call made by the backend server failed. The answers of all
// runs under way report it (call.Answer.CallsFailed), since each may have made the call.
func (r *Runner) RecordFailedCall() { r.callFailedAt.Store(r.Now()) }

// recallQuarantined ends the runs whose content has been quarantined since they
// started, before they crash the backend server. Those that must not be repeated run on.
func (r *Runner) recallQuarantined() {
	version := r.Quarantine.Version()
	if r.checkedQuarantine == version {
		return
	}
	r.checkedQuarantine = version
	for _, run := range r.activeRuns.list() {
		if refusal := r.quarantineRefusal(run.call, run.body); refusal != nil && run.call.Routed.Repeatable {
			run.recall(refusal)
		}
	}
}
