package executor

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// SetEnforcer has the executor hold the backend server to its part in roll-outs. It is
// called before the first call comes.
func (e *Executor) SetEnforcer(t *enforcer.Enforcer) { e.trial = t }

// barred refuses what a roll-out lets the backend server not run; nil: it lets it.
func (e *Executor) barred() *errkind.Error {
	if e.trial == nil {
		return nil
	}
	if why := e.trial.RefusalReason(); why != "" {
		return errkind.New(errkind.VersionHeld, "%s", why)
	}
	return nil
}

// record counts how a run ended, as evidence on the version. A call that the backend
// server was not reached with, or whose time was over, tells nothing of it.
func (r *run) record(answer *call.Answer, refusal *errkind.Error, took time.Duration) {
	switch {
	case r.owner.trial == nil:
	case refusal != nil && refusal.Kind != errkind.BackendFailed:
	default:
		failed := refusal != nil || answer.Status >= 500
		r.owner.trial.Record(rollout.Outcome{Route: r.call.Kind, Failed: failed, Duration: took})
	}
}
