package systems

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// vmListReader reads the platform's list of VMs. A daemon that has just started reads the
// whole list; after that the readers of a data centre read only the entries of one data
// centre at a time, mostly their own.
type vmListReader struct {
	*Env
	firstTimer intervalTimer
	timer      intervalTimer
	reading    atomic.Bool
	// outage logs that the list cannot be read.
	outage *events.Outage
	// listRead is true once the whole list was read, or is not needed because peers sent
	// the members.
	listRead atomic.Bool
	// reads counts the reads of one data centre's entries.
	reads int
	// firstReadAt is when the list is first read at the first start of the fleet, in
	// nanoseconds.
	firstReadAt int64
}

// firstListInterval is the longest time between two attempts to read the whole list.
const firstListInterval = time.Second

// readsPerNextDataCentreRead is the interval, in reads, at which a reader reads the
// entries of the next data centre instead of its own. A data centre that has failed as a
// whole has no readers left that could notice it.
const readsPerNextDataCentreRead = 5

// At the first start of the fleet all daemons write their entries at the same moment, so
// a list that is read at once is nearly empty. Daemons therefore read it after a random
// time, and not at all if peers have sent them more than enoughMembers members by then.
const (
	minFirstListDelay = 300 * time.Millisecond
	firstListSpread   = 2 * time.Second
	enoughMembers     = 20
)

// Tick implements System.
func (v *vmListReader) Tick(now int64, _ *tables.Mail) {
	if v.mustWaitForFirstRead(now) {
		return
	}
	if !v.listRead.Load() {
		v.readFirst(now)
		return
	}
	if v.timer.fires(now, v.Settings.Platform.VMListEvery) && v.isPlatformReader() {
		v.startRead(v.nextDataCentre())
	}
}

// readFirst reads the whole list, until this has succeeded once.
func (v *vmListReader) readFirst(now int64) {
	interval := v.Settings.Platform.VMListEvery
	if !v.firstTimer.fires(now, min(interval, firstListInterval)) {
		return
	}
	// While the table fills, too many daemons take themselves for readers, so the next
	// read follows only one interval later.
	v.timer.nextAt = now + int64(interval)
	v.startRead("")
}

// startRead reads the entries of a data centre, or the whole list if dataCentre is empty,
// unless a read is running.
func (v *vmListReader) startRead(dataCentre string) {
	if v.reading.CompareAndSwap(false, true) {
		go v.read(dataCentre)
	}
}

// mustWaitForFirstRead reports whether this daemon must wait before it reads the whole
// list: for a random time at the first start of the fleet, for its peers at a restart.
func (v *vmListReader) mustWaitForFirstRead(now int64) bool {
	if v.listRead.Load() {
		return false
	}
	if !v.Settings.Platform.FirstStart {
		v.skipFirstReadIfInformed(now)
		return v.shouldWaitForPeers(now)
	}
	if v.firstReadAt == 0 {
		v.firstReadAt = int64(minFirstListDelay + rand.N(firstListSpread))
	}
	if v.World.Members.Len() > enoughMembers {
		v.listRead.Store(true)
	}
	return now < v.firstReadAt
}

// skipFirstReadIfInformed skips the first read of a restarted daemon if its peers have
// sent it the members.
func (v *vmListReader) skipFirstReadIfInformed(now int64) {
	if v.hasPeerWithPlacement() && v.World.Members.Len() > enoughMembers {
		v.timer.nextAt = now + int64(v.Settings.Platform.VMListEvery)
		v.listRead.Store(true)
	}
}

// nextDataCentre returns the data centre whose entries are read next: the own one, and
// once in readsPerNextDataCentreRead reads the one after it by name.
func (v *vmListReader) nextDataCentre() string {
	v.reads++
	own := v.World.DataCentre
	if v.reads%readsPerNextDataCentreRead != 0 {
		return own
	}
	first, next := own, ""
	v.World.Members.EachRow(func(row int) {
		dc := v.World.Members.Record[row].DataCentre
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

func (v *vmListReader) read(dataCentre string) {
	defer v.reading.Store(false)
	ctx, cancel := context.WithTimeout(v.DaemonContext, v.Settings.Platform.Timeout)
	defer cancel()
	vms, err := v.Platform.VMs(ctx, dataCentre)
	v.outage.Record(err)
	if err != nil {
		return
	}
	v.listRead.Store(true)
	list := &tables.VMList{DataCentre: dataCentre, VMs: vms}
	v.World.Inbox.Post(false, func(m *tables.Mail) { m.VMList = list })
}
