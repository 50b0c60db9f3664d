package systems

import (
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// backendReporter keeps what this daemon tells others of its backend server up to
// date in its own row of the table of members.
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
	said := b.World.Members.Record[row]
	if said.Backend == b.backendState() && said.Version == b.Backend.Version() || said.Incarnation != b.Control.Incarnation() {
		return
	}
	said.Backend, said.Version = b.backendState(), b.Backend.Version()
	said.Revision++
	if _, changed := b.World.Members.Merge(now, nil, said); changed {
		b.World.MarkDirty(said.Service)
	}
}

// backendState is what others need to know of the backend server.
func (e *Env) backendState() wire.BackendState {
	if _, ok := e.Backend.Accepting(); ok && !e.backendHeldBack {
		return wire.BackendLive
	}
	return wire.BackendAbsent
}
