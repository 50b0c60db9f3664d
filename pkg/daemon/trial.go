package daemon

import (
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// beginTrial lets the backend server of the settings take part in roll-outs of its
// service. Its version is the settings' word, so that another one comes with another
// process of the daemon; whether it lives, the executor learns by itself.
func (d *Daemon) beginTrial() {
	s := d.Settings
	lifecycle := backend.NewLifecycle(true, nil)
	lifecycle.RecordHeartbeat(d.Now(), backend.Heartbeat{InstanceID: s.VM.ID, Sequence: 1, Version: s.BackendServer.Version})
	// The wall clock tells the processes of one VM's daemon apart.
	recorder := rollout.NewRecorder(s.VM.ID, s.BackendServer.Service, uint64(time.Now().UnixNano()))
	d.env.Backend, d.env.Recorder, d.env.Enforcer = lifecycle, recorder, enforcer.New(d.Common, lifecycle, recorder)
	d.Executor.SetEnforcer(d.env.Enforcer)
}
