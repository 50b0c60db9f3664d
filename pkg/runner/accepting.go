package runner

import (
	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Drain makes the runner refuse requests whose deadline is after lastDeadline, in nanoseconds of
// the daemon's clock: they might be cut while they run.
func (r *Runner) Drain(lastDeadline int64) { r.lastDeadline.Store(lastDeadline) }

// mayOutliveDrain reports whether a call that arrives now might be cut by the end of the drain.
func (r *Runner) mayOutliveDrain(c *wire.Call) bool {
	lastDeadline := r.lastDeadline.Load()
	return lastDeadline != 0 && r.Now()+int64(c.Remaining) > lastDeadline
}

// StopAccepting makes the runner refuse new requests from now on, and those whose bodies are
// on the way. Requests that wait or run already are not affected.
func (r *Runner) StopAccepting() {
	r.leaving.Store(true)
	r.releasePlaces(errkind.New(errkind.Leaving, "the daemon is leaving"))
}

// SetEvacuated sets whether the data centre is evacuated. While it is, the runner
// refuses new and waiting requests.
func (r *Runner) SetEvacuated(evacuated bool) { r.evacuated.Store(evacuated) }

// Enforcer returns the enforcer, which applies the service's roll-out to the backend
// server.
func (r *Runner) Enforcer() *enforcer.Enforcer { return r.enforcer }

// acceptingIncarnation returns the incarnation that requests may be sent to now, or a
// refusal if there is none.
func (r *Runner) acceptingIncarnation() (incarnation backend.Incarnation, refusal *errkind.Error) {
	if r.evacuated.Load() {
		return backend.Incarnation{}, errkind.New(errkind.DataCentreEvacuated, "data centre %s is evacuated", r.Settings.VM.DataCentre)
	}
	incarnation, ok := r.lifecycle.Accepting()
	if !ok {
		return backend.Incarnation{}, errkind.New(errkind.BackendAbsent, "the backend server is leaving, down or not known yet")
	}
	if reason := r.enforcer.RefusalReasonFor(incarnation.String()); reason != "" {
		return backend.Incarnation{}, errkind.New(errkind.VersionHeld, "%s", reason)
	}
	return incarnation, nil
}

// quarantineRefusal refuses a request whose content is quarantined because it crashes
// backend servers. The entry, which checks this first, may not know of the quarantine yet.
func (r *Runner) quarantineRefusal(c *wire.Call, body []byte) *errkind.Error {
	refusal, _ := r.Quarantine.Refusal(r.Now(), func() quarantine.Fingerprint { return c.Fingerprint(body) })
	return refusal
}

// checkCall returns the refusal of a call that this runner must not take, or nil. The
// entry that chose this backend server may have decided on older data.
func (r *Runner) checkCall(c *wire.Call, body []byte) *errkind.Error {
	if refusal := r.checkHead(c); refusal != nil {
		return refusal
	}
	if refusal := r.quarantineRefusal(c, body); refusal != nil {
		return refusal
	}
	_, refusal := r.acceptingIncarnation()
	return refusal
}

// checkHead makes the checks of checkCall before that of the body.
func (r *Runner) checkHead(c *wire.Call) *errkind.Error {
	if r.leaving.Load() {
		return errkind.New(errkind.Leaving, "the daemon is leaving")
	}
	if r.mayOutliveDrain(c) {
		return errkind.New(errkind.Leaving, "the request may take longer than the drain of the daemon")
	}
	if !r.coldLimitSet.Load() && !r.UpdateColdState() {
		return errkind.New(errkind.PlacementUnknown, "the executor has no placement yet")
	}
	if c.Service != r.Settings.BackendServer.Service {
		return errkind.New(errkind.BackendReplaced, "this backend server runs another service")
	}
	return r.placementRefusal(c)
}
