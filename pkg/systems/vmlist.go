package systems

import (
	"context"
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// vmListReader reads the platform's list of VMs: the few readers of a data
// centre that data centre's part, and a daemon that knows nobody yet all of it.
type vmListReader struct {
	*Env
	due  due
	busy atomic.Bool
	// outage logs when the list does not come.
	outage *events.Outage
	// began is true once a whole list was read.
	began atomic.Bool
	// reads counts this reader's reads.
	reads int
}

// neighbourEvery is how many reads go by between two of the next data centre's
// part: a data centre that is lost has no readers left that could say so.
const neighbourEvery = 5

// Tick implements System.
func (self *vmListReader) Tick(now int64, _ *tables.Mail) {
	if !self.due.at(now, self.Settings.Platform.VMListEvery) {
		return
	}
	part := ""
	if self.began.Load() {
		if !self.isReader() {
			return
		}
		part = self.nextPart()
	}
	if self.busy.CompareAndSwap(false, true) {
		go self.read(part)
	}
}

// nextPart is the own data centre, and now and then the one after it.
func (self *vmListReader) nextPart() string {
	self.reads++
	own := self.World.DataCentre
	if self.reads%neighbourEvery != 0 {
		return own
	}
	first, next := own, ""
	self.World.Members.Rows(func(row int) {
		dc := self.World.Members.Row[row].DataCentre
		if dc < first {
			first = dc
		}
		if dc > own && (next == "" || dc < next) {
			next = dc
		}
	})
	if next == "" {
		return first
	}
	return next
}

func (self *vmListReader) read(part string) {
	defer self.busy.Store(false)
	ctx, cancel := context.WithTimeout(self.Background, self.Settings.Platform.Timeout)
	defer cancel()
	vms, err := self.Platform.VMs(ctx, part)
	self.outage.Note(err)
	if err != nil {
		return
	}
	self.began.Store(true)
	list := &tables.VMList{DataCentre: part, VMs: vms}
	self.World.Inbox.Post(false, func(m *tables.Mail) { m.List = list })
}
