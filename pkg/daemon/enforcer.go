package daemon

import (
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// setUpEnforcer lets a backend server that does not announce itself take part in roll-outs
// of its service. Its version is the one in the settings, which changes only with a restart
// of the daemon. The executor detects by itself whether the backend server is up.
func (d *Daemon) setUpEnforcer() {
	s := d.Settings
	lifecycle := backend.NewLifecycle(true, nil)
	lifecycle.RecordHeartbeat(d.Now(), backend.Heartbeat{InstanceID: s.VM.ID, Sequence: 1, Version: s.BackendServer.Version})
	// The wall clock identifies the process of this daemon: each restart gets a later time.
	recorder := rollout.NewRecorder(s.VM.ID, s.BackendServer.Service, uint64(time.Now().UnixNano()))
	d.env.Backend, d.env.Recorder, d.env.Enforcer = lifecycle, recorder, enforcer.New(d.Common, lifecycle, recorder)
	d.Executor.SetEnforcer(d.env.Enforcer)
}
