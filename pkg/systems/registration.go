package systems

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// registerEvery is the time between two tries to write the own entry.
const registerEvery = 2 * time.Second

// registration writes this daemon's entry into the list of VMs once, where daemons
// write that list themselves. Links say all the rest.
type registration struct {
	*Env
	due  intervalTimer
	busy atomic.Bool
	done atomic.Bool
	// wroteAt is when the entry was written, in nanoseconds; 0: it was not, by this process.
	wroteAt atomic.Int64
	outage  *events.Outage
}

// listFirst is how long a daemon that was started again waits for the list: its
// entry stands there mostly, as it was. A VM that is new tells its peers of
// itself meanwhile.
const listFirst = 500 * time.Millisecond

// Tick implements System.
func (r *registration) Tick(now int64, mail *tables.Mail) {
	if mail.StoreRestored {
		r.writeAgain(now)
	}
	if r.Registrar == nil || r.done.Load() {
		return
	}
	if mail.VMList != nil && r.isListed(mail.VMList) || r.isKnownFromBefore(mail) {
		r.done.Store(true)
		return
	}
	waits := !r.Settings.Platform.FirstStart && mail.VMList == nil && (now < int64(listFirst) || r.shouldWaitForPeers(now))
	if waits || !r.due.fires(now, registerEvery) {
		return
	}
	if r.busy.CompareAndSwap(false, true) {
		go r.write()
	}
}

func (r *registration) write() {
	defer r.busy.Store(false)
	ctx, cancel := context.WithTimeout(r.DaemonContext, r.Settings.Platform.Timeout)
	defer cancel()
	began := time.Now()
	err := r.Registrar.Register(ctx, r.entry())
	store.CountCall(r.Metrics, "register", began, err)
	r.outage.Record(err)
	if err == nil {
		r.wroteAt.Store(r.Now())
		r.done.Store(true)
	}
}

const (
	// copyMost is how old a copy may be that the store comes back from: platforms' copies
	// are some seconds old. What was written before then is in it.
	copyMost = time.Minute
	// againWithin is the time over which daemons write again, so that a fleet that has just
	// started does not come as one.
	againWithin = time.Second
)

// writeAgain has the entry written once more that a copy of the store may lack.
func (r *registration) writeAgain(now int64) {
	if at := r.wroteAt.Load(); at == 0 || now-at > int64(copyMost) {
		return
	}
	r.done.Store(false)
	r.due.nextAt = now + rand.Int64N(int64(againWithin))
}

// entry is this daemon's own.
func (r *registration) entry() store.VM {
	s := r.Settings
	return store.VM{
		ID: s.VM.ID, Region: s.VM.Region, DataCentre: s.VM.DataCentre, Service: s.BackendServer.Service,
		State: store.VMLive, Links: s.Listen.Links, Callers: s.Listen.Callers, Slots: s.BackendServer.Slots,
	}
}

// isKnownFromBefore is true when a peer tells of a former process of this VM with the same
// entry: that process has written it.
func (r *registration) isKnownFromBefore(mail *tables.Mail) bool {
	own := r.entry()
	for _, told := range mail.Members {
		for i := range told.Rows {
			if row := &told.Rows[i]; row.VM == own.ID && row.Incarnation > 0 && row.Incarnation < r.Control.Incarnation() && entryOf(row) == own {
				return true
			}
		}
	}
	return false
}

// entryOf is the entry that the daemon of a row writes.
func entryOf(row *wire.Member) store.VM {
	return store.VM{
		ID: row.VM, Region: row.Region, DataCentre: row.DataCentre, Service: row.Service,
		State: store.VMLive, Links: row.Links, Callers: row.Callers, Slots: int(row.Slots),
	}
}

// isListed is true when a list holds this daemon's entry as it would write it.
func (r *registration) isListed(list *tables.VMList) bool {
	for _, vm := range list.VMs {
		if vm == r.entry() {
			return true
		}
	}
	return false
}
