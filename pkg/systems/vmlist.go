package systems

import (
	"context"
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// vmListReader reads the platform's list of VMs.
type vmListReader struct {
	*Env
	due  due
	busy atomic.Bool
	down atomic.Bool
}

// Tick implements System.
func (self *vmListReader) Tick(now int64, _ *tables.Mail) {
	if !self.due.at(now, self.Settings.Platform.VMListEvery) || !self.busy.CompareAndSwap(false, true) {
		return
	}
	go self.read()
}

func (self *vmListReader) read() {
	defer self.busy.Store(false)
	ctx, cancel := context.WithTimeout(self.Background, self.Settings.Platform.Timeout)
	defer cancel()
	vms, err := self.Platform.VMs(ctx)
	self.note(err)
	if err != nil {
		return
	}
	self.World.Inbox.Post(false, func(m *tables.Mail) { m.VMs = vms })
}

func (self *vmListReader) note(err error) {
	if down := err != nil; self.down.Swap(down) == down {
		return
	}
	if err != nil {
		self.Log.Event(events.PlatformDown, events.F("what", "list of VMs"), events.F("cause", err))
		return
	}
	self.Log.Event(events.PlatformUp, events.F("what", "list of VMs"))
}
