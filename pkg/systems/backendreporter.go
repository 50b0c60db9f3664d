package systems

import (
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// backendReporter keeps the state and version of the backend server up to date in this
// daemon's own row of the table of members, which is sent to the other daemons.
type backendReporter struct{ *Env }

// Tick implements System.
func (b *backendReporter) Tick(now int64, _ *tables.Mail) {
	if b.Backend == nil {
		return
	}
	row, ok := b.World.Members.Find(b.World.VM)
	if !ok {
		return
	}
	record := b.World.Members.Record[row]
	if record.Backend == b.backendState() && record.Version == b.Backend.Version() || record.Incarnation != b.Control.Incarnation() {
		return
	}
	record.Backend, record.Version = b.backendState(), b.Backend.Version()
	record.Revision++
	if _, changed := b.World.Members.Merge(now, nil, record); changed {
		b.World.MarkDirty(record.Service)
	}
}

// backendState returns the state of the backend server as reported to other daemons.
func (e *Env) backendState() wire.BackendState {
	if _, ok := e.Backend.Accepting(); ok && !e.backendHeldBack {
		return wire.BackendLive
	}
	return wire.BackendAbsent
}
