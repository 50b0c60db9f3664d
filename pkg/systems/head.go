package systems

import (
	"context"
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
)

// headReader reads the head of the placement, the evacuated data centres and the orders
// for roll-outs from the platform's table. It runs where the platform has no feed. A few
// daemons of each data centre read at the interval of the settings; the others only read
// until they have a placement. Source: docs/design/placement.md.
type headReader struct {
	*Env
	readTimer intervalTimer
	// reading is true while a read is running.
	reading atomic.Bool
	// headOutage logs failed reads of the head and of the evacuated data centres,
	// ordersOutage failed reads of the orders.
	headOutage, ordersOutage *events.Outage
}

// Tick implements System.
func (h *headReader) Tick(now int64, _ *tables.Mail) {
	if !h.readTimer.fires(now, h.Settings.Placement.HeadEvery) {
		return
	}
	if h.World.Placement != nil && !h.isPlatformReader() {
		return
	}
	if h.reading.CompareAndSwap(false, true) {
		go h.read(now, h.World.PlacementVersion(), h.World.Placement)
	}
}

// read reads the store and posts the results to the inbox. began is the time of the
// tick that started it, in nanoseconds. base is the placement in force, or nil, and
// version is its version.
func (h *headReader) read(began int64, version uint64, base *placement.Document) {
	defer h.reading.Store(false)
	ctx, cancel := context.WithTimeout(h.DaemonContext, h.Settings.Platform.Timeout)
	defer cancel()
	head, err := h.Store.Head(ctx)
	h.headOutage.Record(err)
	if err != nil {
		return
	}
	evacuated, err := h.Evacuation.Read(ctx)
	h.headOutage.Record(err)
	if err != nil {
		return
	}
	h.readOrders(ctx)
	h.World.Inbox.Post(true, func(m *tables.Mail) {
		m.PlacementHeadKnown, m.PlacementHead, m.StoreReadAt, m.Evacuation = true, head, began, &evacuated
	})
	if head.Version <= version && base != nil {
		return
	}
	received, err := h.fetch(ctx, head, base)
	if err != nil {
		h.Log.Event(events.PlacementRejected, events.F("version", head.Version), events.F("cause", err))
		return
	}
	h.World.Inbox.Post(true, func(m *tables.Mail) { m.StorePlacements = append(m.StorePlacements, received) })
}

// readOrders reads the orders for roll-outs. It returns no error, since orders that
// cannot be read must not stop the read of the placement.
func (h *headReader) readOrders(ctx context.Context) {
	orders, err := h.Orders.Read(ctx)
	h.ordersOutage.Record(err)
	if err == nil {
		h.World.Inbox.Post(true, func(m *tables.Mail) { m.KeepNewestOrders(orders) })
	}
}

// fetch reads the placement that head names: the changes since base if possible, else
// the whole document.
func (h *headReader) fetch(ctx context.Context, head placement.Head, base *placement.Document) (tables.ReceivedPlacement, error) {
	if received, ok := h.fetchChanges(ctx, head, base); ok {
		return received, nil
	}
	doc, err := h.Store.Snapshot(ctx, head)
	return tables.ReceivedPlacement{Document: doc, Hash: head.Hash, FromStore: true}, err
}

// fetchChanges reads the changes from base to head and applies them. It returns false
// if there is no base, there are too many changes, or they cannot be read or applied.
func (h *headReader) fetchChanges(ctx context.Context, head placement.Head, base *placement.Document) (tables.ReceivedPlacement, bool) {
	if base == nil || head.Version-base.Version > tables.MaxPlacementLog {
		return tables.ReceivedPlacement{}, false
	}
	entries, err := h.Store.History(ctx, base.Version, int(head.Version-base.Version))
	if err != nil {
		return tables.ReceivedPlacement{}, false
	}
	doc, err := placement.Replay(base, entries, head.Hash)
	if err != nil {
		return tables.ReceivedPlacement{}, false
	}
	return tables.ReceivedPlacement{Document: doc, Hash: head.Hash, Entries: entries, FromStore: true}, true
}
