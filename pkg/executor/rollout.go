package executor

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// SetEnforcer sets the enforcer that decides whether a roll-out lets the backend server
// run calls. It must be called before the first Execute.
func (e *Executor) SetEnforcer(en *enforcer.Enforcer) { e.enforcer = en }

// rolloutRefusal returns an error if a roll-out forbids the backend server to run calls.
func (e *Executor) rolloutRefusal() *errkind.Error {
	if e.enforcer == nil {
		return nil
	}
	if reason := e.enforcer.RefusalReason(); reason != "" {
		return errkind.New(errkind.VersionHeld, "%s", reason)
	}
	return nil
}

// recordOutcome counts a run as a success or failure of the backend server's version. A
// call that did not reach the backend server or timed out is not counted.
func (r *run) recordOutcome(answer *call.Answer, refusal *errkind.Error, duration time.Duration) {
	switch {
	case r.executor.enforcer == nil:
	case refusal != nil && refusal.Kind != errkind.BackendFailed:
	default:
		failed := refusal != nil || answer.Status >= 500
		r.executor.enforcer.Record(rollout.Outcome{Route: r.call.Kind, Failed: failed, Duration: duration})
	}
}
