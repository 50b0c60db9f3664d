package systems

import (
	"context"
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
)

// headReader reads the placement's head, the evacuated data centres and the orders of
// roll-outs in the platform's table. A few daemons a data centre do so about every second; a daemon
// without a placement does so until it has one. Source: docs/design/placement.md.
type headReader struct {
	*Env
	due  intervalTimer
	busy atomic.Bool
	// headOutage logs when the head cannot be read, ordersOutage when the orders cannot.
	headOutage, ordersOutage *events.Outage
}

// Tick implements System.
func (h *headReader) Tick(now int64, _ *tables.Mail) {
	if !h.due.fires(now, h.Settings.Placement.HeadEvery) {
		return
	}
	if h.World.Placement != nil && !h.isPlatformReader() {
		return
	}
	if h.busy.CompareAndSwap(false, true) {
		go h.read(now, h.World.PlacementVersion(), h.World.Placement)
	}
}

func (h *headReader) read(began int64, have uint64, base *placement.Document) {
	defer h.busy.Store(false)
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
		m.HeadKnown, m.Head, m.StoreReadAt, m.Evacuation = true, head, began, &evacuated
	})
	if head.Version <= have && base != nil {
		return
	}
	version, err := h.fetch(ctx, head, base)
	if err != nil {
		h.Log.Event(events.PlacementRejected, events.F("version", head.Version), events.F("cause", err))
		return
	}
	h.World.Inbox.Post(true, func(m *tables.Mail) { m.Placements = append(m.Placements, version) })
}

// readOrders reads the orders of roll-outs. A row that cannot be read must not keep
// this daemon from the placement.
func (h *headReader) readOrders(ctx context.Context) {
	orders, err := h.Orders.Read(ctx)
	h.ordersOutage.Record(err)
	if err == nil {
		h.World.Inbox.Post(true, func(m *tables.Mail) { m.KeepNewestOrders(orders) })
	}
}

// fetch reads the changes since base, or the snapshot when that is shorter.
func (h *headReader) fetch(ctx context.Context, head placement.Head, base *placement.Document) (tables.ReceivedPlacement, error) {
	if version, ok := h.fetchChanges(ctx, head, base); ok {
		return version, nil
	}
	doc, err := h.Store.Snapshot(ctx, head)
	return tables.ReceivedPlacement{Document: doc, Hash: head.Hash, FromStore: true}, err
}

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
