package systems

import (
	"context"
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/platform"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

// headReader reads the placement's head in the platform's table. A few daemons
// a data centre do so about every second; a daemon without a placement does so
// until it has one. Source: docs/design/placement.md.
type headReader struct {
	*Env
	due  due
	busy atomic.Bool
	down atomic.Bool
}

// Tick implements System.
func (self *headReader) Tick(now int64, _ *tables.Mail) {
	if !self.due.at(now, self.Settings.Placement.HeadEvery) {
		return
	}
	if self.World.Placement != nil && !self.isReader() {
		return
	}
	if self.busy.CompareAndSwap(false, true) {
		go self.read(now, self.World.Version(), self.World.Placement)
	}
}

// isReader is true when this daemon is among the data centre's readers. Each
// daemon works that out by itself from its list of members; while lists
// differ there is a reader more or less, which costs a read or some time.
func (self *headReader) isReader() bool {
	mine := utils.Rendezvous(self.World.DataCentre, self.World.VM)
	ahead := 0
	self.World.Members.Rows(func(row int) {
		vm := &self.World.Members.VM[row]
		if vm.DataCentre != self.World.DataCentre || vm.ID == self.World.VM || self.World.Members.Leaving[row] {
			return
		}
		if utils.Rendezvous(self.World.DataCentre, vm.ID) > mine {
			ahead++
		}
	})
	return ahead < self.Settings.Placement.HeadReaders
}

func (self *headReader) read(began int64, have uint64, base *placement.Document) {
	defer self.busy.Store(false)
	ctx, cancel := context.WithTimeout(self.Background, self.Settings.Platform.Timeout)
	defer cancel()
	head, err := self.Store.Head(ctx)
	self.note(err)
	if err != nil {
		return
	}
	self.World.Inbox.Post(true, func(m *tables.Mail) {
		m.HeadKnown, m.Head, m.StoreReadAt = true, head, began
	})
	if head.Version <= have && base != nil {
		return
	}
	version, err := self.fetch(ctx, head, base)
	if err != nil {
		self.Log.Event(events.PlacementRejected, events.F("version", head.Version), events.F("cause", err))
		return
	}
	self.World.Inbox.Post(true, func(m *tables.Mail) { m.Documents = append(m.Documents, version) })
}

// fetch reads the changes since base, or the snapshot when that is shorter.
func (self *headReader) fetch(ctx context.Context, head placement.Head, base *placement.Document) (tables.Version, error) {
	if version, ok := self.fetchChanges(ctx, head, base); ok {
		return version, nil
	}
	doc, err := self.Store.Snapshot(ctx, head)
	return tables.Version{Document: doc, Hash: head.Hash, FromStore: true}, err
}

func (self *headReader) fetchChanges(ctx context.Context, head placement.Head, base *placement.Document) (tables.Version, bool) {
	if base == nil || head.Version-base.Version > tables.LogLength {
		return tables.Version{}, false
	}
	entries, err := self.Store.History(ctx, base.Version, int(head.Version-base.Version))
	if err != nil {
		return tables.Version{}, false
	}
	doc, err := placement.Replay(base, entries, head.Hash)
	if err != nil {
		return tables.Version{}, false
	}
	return tables.Version{Document: doc, Hash: head.Hash, Entries: entries, FromStore: true}, true
}

func (self *headReader) note(err error) {
	down := err != nil && err != platform.ErrNotFound
	if self.down.Swap(down) == down {
		return
	}
	if down {
		self.Log.Event(events.PlatformDown, events.F("what", "placement head"), events.F("cause", err))
		return
	}
	self.Log.Event(events.PlatformUp, events.F("what", "placement head"))
}
