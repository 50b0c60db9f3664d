package runner

import (
	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/trial"
	"github.com/rushramp/rushramp/pkg/wire"
)

// StopAccepting makes the runner refuse new requests from now on.
func (r *Runner) StopAccepting() { r.leaving.Store(true) }

// SetEvacuated makes the runner refuse new requests, and those that wait, while
// its data centre is evacuated.
func (r *Runner) SetEvacuated(evacuated bool) { r.evacuated.Store(evacuated) }

// Trial is the backend server's part in a roll-out.
func (r *Runner) Trial() *trial.Trial { return r.trial }

// acceptingIncarnation returns the incarnation that requests may be handed to now, or why
// there is none.
func (r *Runner) acceptingIncarnation() (instance backend.Incarnation, refusal *errkind.Error) {
	if r.evacuated.Load() {
		return backend.Incarnation{}, errkind.New(errkind.DataCentreEvacuated, "%s is evacuated", r.Settings.VM.DataCentre)
	}
	instance, ok := r.lifecycle.Accepting()
	if !ok {
		return backend.Incarnation{}, errkind.New(errkind.BackendAbsent, "the backend server takes no requests now")
	}
	if why := r.trial.Bars(instance.String()); why != "" {
		return backend.Incarnation{}, errkind.New(errkind.VersionHeld, "%s", why)
	}
	return instance, nil
}

// quarantineRefusal refuses a request whose content ends the backend servers that run it: the
// entry may not have heard of it yet.
func (r *Runner) quarantineRefusal(c *wire.Call, body []byte) *errkind.Error {
	refusal, _ := r.Quarantine.Refusal(r.Now(), func() quarantine.Fingerprint { return c.Fingerprint(body) })
	return refusal
}

// checkCall refuses what this runner must not take, whatever the entry believed.
func (r *Runner) checkCall(c *wire.Call, body []byte) *errkind.Error {
	if r.leaving.Load() {
		return errkind.New(errkind.Leaving, "the daemon is leaving")
	}
	if !r.coldLimitSet.Load() && !r.UpdateCold() {
		return errkind.New(errkind.PlacementUnknown, "the executor has no placement yet")
	}
	if c.Service != r.Settings.BackendServer.Service {
		return errkind.New(errkind.BackendReplaced, "this backend server runs another service")
	}
	if refusal := r.placementRefusal(c); refusal != nil {
		return refusal
	}
	if refusal := r.quarantineRefusal(c, body); refusal != nil {
		return refusal
	}
	_, refusal := r.acceptingIncarnation()
	return refusal
}
