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

// registerInterval is the time between two attempts to write the entry.
const registerInterval = 2 * time.Second

// registration writes this daemon's entry to the list of VMs once, if daemons write that
// list themselves. Later changes are sent only over links.
type registration struct {
	*Env
	timer   intervalTimer
	writing atomic.Bool
	done    atomic.Bool
	// writtenAt is when this process wrote the entry, in nanoseconds; 0: it has not.
	writtenAt atomic.Int64
	outage    *events.Outage
}

// listWait is how long a restarted daemon waits for the list of VMs, which usually
// contains its unchanged entry already. The peers of a new VM learn of it over their
// links meanwhile.
const listWait = 500 * time.Millisecond

// Tick implements System.
func (r *registration) Tick(now int64, mail *tables.Mail) {
	if mail.StoreRestored {
		r.scheduleRewrite(now)
	}
	if r.Registrar == nil || r.done.Load() {
		return
	}
	if mail.VMList != nil && r.isListed(mail.VMList) || r.isWrittenByFormerProcess(mail) {
		r.done.Store(true)
		return
	}
	mustWait := !r.Settings.Platform.FirstStart && mail.VMList == nil && (now < int64(listWait) || r.shouldWaitForPeers(now))
	if mustWait || !r.timer.fires(now, registerInterval) {
		return
	}
	if r.writing.CompareAndSwap(false, true) {
		go r.write()
	}
}

func (r *registration) write() {
	defer r.writing.Store(false)
	ctx, cancel := context.WithTimeout(r.DaemonContext, r.Settings.Platform.Timeout)
	defer cancel()
	began := time.Now()
	err := r.Registrar.Register(ctx, r.ownEntry())
	store.CountCall(r.Metrics, "register", began, err)
	r.outage.Record(err)
	if err == nil {
		r.writtenAt.Store(r.Now())
		r.done.Store(true)
	}
}

const (
	// maxBackupAge is the greatest age of the backup that a store is restored from. An
	// entry that was written before that is in the backup.
	maxBackupAge = time.Minute
	// rewriteSpread is the time over which daemons spread their repeated writes, so that
	// a fleet that has just started does not write all at once.
	rewriteSpread = time.Second
)

// scheduleRewrite has the entry written again if the backup that the store was restored
// from may lack it.
func (r *registration) scheduleRewrite(now int64) {
	if at := r.writtenAt.Load(); at == 0 || now-at > int64(maxBackupAge) {
		return
	}
	r.done.Store(false)
	r.timer.nextAt = now + rand.Int64N(int64(rewriteSpread))
}

// ownEntry returns this daemon's entry in the list of VMs.
func (r *registration) ownEntry() store.VM {
	s := r.Settings
	return store.VM{
		ID: s.VM.ID, Region: s.VM.Region, DataCentre: s.VM.DataCentre, Service: s.BackendServer.Service,
		State: store.VMLive, Links: s.Listen.Links, Callers: s.Listen.Callers, Slots: s.BackendServer.Slots,
	}
}

// isWrittenByFormerProcess reports whether a peer sent the record of a former process of
// this VM with the same entry, which that process has then written.
func (r *registration) isWrittenByFormerProcess(mail *tables.Mail) bool {
	own := r.ownEntry()
	for _, received := range mail.Members {
		for i := range received.Rows {
			if row := &received.Rows[i]; row.VM == own.ID && row.Incarnation > 0 && row.Incarnation < r.Control.Incarnation() && entryOf(row) == own {
				return true
			}
		}
	}
	return false
}

// entryOf returns the entry that the daemon of a record writes.
func entryOf(row *wire.Member) store.VM {
	return store.VM{
		ID: row.VM, Region: row.Region, DataCentre: row.DataCentre, Service: row.Service,
		State: store.VMLive, Links: row.LinkAddress, Callers: row.CallerAddress, Slots: int(row.Slots),
	}
}

// isListed reports whether a list contains this daemon's entry unchanged.
func (r *registration) isListed(list *tables.VMList) bool {
	for _, vm := range list.VMs {
		if vm == r.ownEntry() {
			return true
		}
	}
	return false
}
