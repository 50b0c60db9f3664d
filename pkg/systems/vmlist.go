package systems

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// vmListReader reads the platform's list of VMs: the few readers of a data
// centre that data centre's part, and a daemon that knows nobody yet all of it.
type vmListReader struct {
	*Env
	firstDue intervalTimer
	due      intervalTimer
	busy     atomic.Bool
	// outage logs when the list does not come.
	outage *events.Outage
	// began is true once a whole list was read.
	began atomic.Bool
	// reads counts this reader's reads.
	reads int
	// firstAt is when the first list is read, in nanoseconds.
	firstAt int64
}

// firstListEvery is the time between two tries to read the first list.
const firstListEvery = time.Second

// neighbourEvery is how many reads go by between two of the next data centre's
// part: a data centre that is lost has no readers left that could say so.
const neighbourEvery = 5

// At the first start of the whole system daemons write their entries at the same
// moment, so a list that is read at once is nearly empty. They read it at a
// random time instead, and those whom others have told of toldEnough members by
// then do not need to: a few readers in a fleet of hundreds do for all.
const (
	firstListAfter  = 300 * time.Millisecond
	firstListWithin = 2 * time.Second
	toldEnough      = 20
)

// Tick implements System.
func (v *vmListReader) Tick(now int64, _ *tables.Mail) {
	if v.tooEarly(now) {
		return
	}
	if !v.began.Load() {
		v.readFirst(now)
		return
	}
	if v.due.fires(now, v.Settings.Platform.VMListEvery) && v.isPlatformReader() {
		v.start(v.nextPart())
	}
}

// readFirst reads the whole list until that has worked once.
func (v *vmListReader) readFirst(now int64) {
	every := v.Settings.Platform.VMListEvery
	if !v.firstDue.fires(now, min(every, firstListEvery)) {
		return
	}
	// While members become known, more daemons than in the end take themselves
	// for readers: the first part is read a whole interval later.
	v.due.nextAt = now + int64(every)
	v.start("")
}

func (v *vmListReader) start(part string) {
	if v.busy.CompareAndSwap(false, true) {
		go v.read(part)
	}
}

// tooEarly is true at the first start until this daemon's time to read the first
// list has come.
func (v *vmListReader) tooEarly(now int64) bool {
	if v.began.Load() {
		return false
	}
	if !v.Settings.Platform.FirstStart {
		v.toldByPeers(now)
		return v.shouldWaitForPeers(now)
	}
	if v.firstAt == 0 {
		v.firstAt = int64(firstListAfter + rand.N(firstListWithin))
	}
	if v.World.Members.Len() > toldEnough {
		v.began.Store(true)
	}
	return now < v.firstAt
}

// toldByPeers spares a daemon that was started again its first read, where peers have told
// it of the members while it waited for them.
func (v *vmListReader) toldByPeers(now int64) {
	if v.hasPeerWithPlacement() && v.World.Members.Len() > toldEnough {
		v.due.nextAt = now + int64(v.Settings.Platform.VMListEvery)
		v.began.Store(true)
	}
}

// nextPart is the own data centre, and now and then the one after it.
func (v *vmListReader) nextPart() string {
	v.reads++
	own := v.World.DataCentre
	if v.reads%neighbourEvery != 0 {
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

func (v *vmListReader) read(part string) {
	defer v.busy.Store(false)
	ctx, cancel := context.WithTimeout(v.DaemonContext, v.Settings.Platform.Timeout)
	defer cancel()
	vms, err := v.Platform.VMs(ctx, part)
	v.outage.Record(err)
	if err != nil {
		return
	}
	v.began.Store(true)
	list := &tables.VMList{DataCentre: part, VMs: vms}
	v.World.Inbox.Post(false, func(m *tables.Mail) { m.VMList = list })
}
