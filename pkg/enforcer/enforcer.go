// Package enforcer is the part that one backend server has in its service's roll-out: the
// executor beside it refuses what the roll-out lets it not run, and counts how its runs
// end. Source: docs/design/rollout.md.
package enforcer

import (
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/utils"
)

// Enforcer is safe for concurrent use.
type Enforcer struct {
	common    *common.Common
	lifecycle *backend.Lifecycle
	// recorder is nil where nothing is counted.
	recorder *rollout.Recorder
	// guard is nil while no roll-out concerns the backend server.
	guard atomic.Pointer[rollout.Guard]
}

// New makes the trial of the backend server that a lifecycle follows. recorder may be
// nil.
func New(c *common.Common, lifecycle *backend.Lifecycle, recorder *rollout.Recorder) *Enforcer {
	t := &Enforcer{common: c, lifecycle: lifecycle, recorder: recorder}
	c.Metrics.GetOrCreateGauge("rushramp_rollout_barred", t.barredGauge)
	return t
}

func (t *Enforcer) barredGauge() float64 {
	if t.RefusalReason() != "" {
		return 1
	}
	return 0
}

// SetGuard puts a guard in force, at once for all that is not handed over yet: what
// was handed over before counts as in flight from here on, until it has ended.
func (t *Enforcer) SetGuard(g *rollout.Guard) { t.guard.Store(g) }

// RefusalReason says why a roll-out lets the backend server run nothing; empty: it lets it.
func (t *Enforcer) RefusalReason() string {
	instance, _ := t.lifecycle.Current()
	return t.RefusalReasonFor(instance.String())
}

// RefusalReasonFor says why a roll-out lets an incarnation run nothing; empty: it lets it.
func (t *Enforcer) RefusalReasonFor(instance string) string {
	return t.guard.Load().RefusalReasonFor(instance, t.lifecycle.Version(), t.common.Settings.VM.ID)
}

// PlanRevision is true while a roll-out of the service is known, and the revision is that of
// its plan.
func (t *Enforcer) PlanRevision() (revision uint64, is bool) {
	g := t.guard.Load()
	if g == nil || g.Traffic == nil {
		return 0, false
	}
	return g.Revision, true
}

// Record counts how a run ended, as evidence on its version, until the roll-out has
// ended: the counter's name alone takes an allocation and some 300 ns a run.
func (t *Enforcer) Record(o rollout.Outcome) {
	if t.recorder == nil || !t.recorder.Counting() {
		return
	}
	if _, is := t.PlanRevision(); !is {
		return
	}
	t.count(o.Failed)
	t.recorder.Count(o)
}

// count counts a run of the backend server's version for the metrics.
func (t *Enforcer) count(failed bool) {
	outcome := "worked"
	if failed {
		outcome = "failed"
	}
	service, version := utils.Label(t.common.Settings.BackendServer.Service), utils.Label(t.lifecycle.Version())
	t.common.Metrics.GetOrCreateCounter(`rushramp_rollout_runs_total{service="` + service + `",version="` + version + `",outcome="` + outcome + `"}`).Inc()
}
