package runner

import (
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// CallRefused notes that a call which the backend server made was refused.
func (r *Runner) CallRefused() { r.below.Refused(r.Now()) }

// checkBelow refuses a share of the requests whose runs fail since the calls that they
// make are refused. Calls of other services are let in: theirs are as deep as they go.
func (r *Runner) checkBelow(run *routedRun) *errkind.Error {
	if run.origin == wire.OriginService {
		return nil
	}
	share := r.below.Share(run.call.Kind)
	if share >= 1 || r.random() < share {
		return nil
	}
	return errkind.New(errkind.OverloadedBelow, "calls of such runs are refused; a share of %.2f is let in", share)
}

// noteBelow takes over how a run ended that began at a time.
func (r *Runner) noteBelow(run *routedRun, began int64, status int) {
	if run.origin != wire.OriginService {
		r.below.Ended(run.call.Kind, began, status >= 500)
	}
}
