// Package enforcer applies a service's roll-out to one backend server: it tells the
// executor what the roll-out does not permit the backend server to run, and counts how
// its runs end. Source: docs/design/rollout.md.
package enforcer

import (
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/utils"
)

// Enforcer applies roll-outs to the backend server of one lifecycle. It is safe for
// concurrent use.
type Enforcer struct {
	common    *common.Common
	lifecycle *backend.Lifecycle
	// recorder is nil where no outcomes are counted.
	recorder *rollout.Recorder
	// guard is nil until SetGuard: the backend server may run all requests.
	guard atomic.Pointer[rollout.Guard]
}

// New returns an enforcer without a guard. recorder may be nil: the enforcer then counts
// no outcomes.
func New(c *common.Common, lifecycle *backend.Lifecycle, recorder *rollout.Recorder) *Enforcer {
	e := &Enforcer{common: c, lifecycle: lifecycle, recorder: recorder}
	c.Metrics.GetOrCreateGauge("rushramp_rollout_barred", e.barredGauge)
	return e
}

func (e *Enforcer) barredGauge() float64 {
	if e.RefusalReason() != "" {
		return 1
	}
	return 0
}

// SetGuard replaces the guard. The new guard applies at once to all requests that have not
// been sent to the backend server yet. Requests that have been sent run to their end.
func (e *Enforcer) SetGuard(g *rollout.Guard) { e.guard.Store(g) }

// RefusalReason returns why a roll-out does not permit the backend server to run
// requests; empty where it may.
func (e *Enforcer) RefusalReason() string {
	instance, _ := e.lifecycle.Current()
	return e.RefusalReasonFor(instance.String())
}

// RefusalReasonFor returns why a roll-out does not permit an incarnation of the backend
// server to run requests; empty where it may.
func (e *Enforcer) RefusalReasonFor(instance string) string {
	return e.guard.Load().RefusalReasonFor(instance, e.lifecycle.Version(), e.common.Settings.VM.ID)
}

// PlanRevision returns the revision of the plan of the service's roll-out. known is false
// where no roll-out is known.
func (e *Enforcer) PlanRevision() (revision uint64, known bool) {
	g := e.guard.Load()
	if g == nil || g.Traffic == nil {
		return 0, false
	}
	return g.Revision, true
}

// Record counts how a run ended, as evidence on its version. It does nothing unless a
// roll-out is known and the recorder counts: building the name of the counter costs an
// allocation and some 300 ns a run.
func (e *Enforcer) Record(o rollout.Outcome) {
	if e.recorder == nil || !e.recorder.Counting() {
		return
	}
	if _, known := e.PlanRevision(); !known {
		return
	}
	e.countRun(o.Failed)
	e.recorder.Count(o)
}

// countRun counts a run in the metric of the backend server's version.
func (e *Enforcer) countRun(failed bool) {
	outcome := "worked"
	if failed {
		outcome = "failed"
	}
	service, version := utils.Label(e.common.Settings.BackendServer.Service), utils.Label(e.lifecycle.Version())
	e.common.Metrics.GetOrCreateCounter(`rushramp_rollout_runs_total{service="` + service + `",version="` + version + `",outcome="` + outcome + `"}`).Inc()
}
