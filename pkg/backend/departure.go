package backend

import "time"

// endRetention is how long departed and replaced instance IDs are remembered. It is
// far longer than a process runs after it has departed or was replaced.
const endRetention = 5 * time.Minute

// DepartureSource is how the daemon learned of a departure.
type DepartureSource uint8

// The sources of departures. In the first three, the process that leaves says so itself.
const (
	FromHeartbeat DepartureSource = iota
	FromDeregistration
	FromResponse
	FromPeer
	FromStore
)

// String returns the source as written in log lines.
func (s DepartureSource) String() string {
	return [...]string{"heartbeat", "deregistration", "response", "peer", "store"}[s]
}

// Departure is the announcement that a process leaves.
type Departure struct {
	// Incarnation is the process that leaves. Its start time may be unknown.
	Incarnation Incarnation
	// StartedByMS is a Unix time in milliseconds by which the process had started. It keeps a
	// departure with an unknown start time from applying to later processes; 0: unknown.
	StartedByMS int64
	Source      DepartureSource
}

// endRecord marks the incarnations of one instance ID that have ended: those that
// started no later than startedAtMS, or all of them if it is 0.
type endRecord struct {
	startedAtMS int64
	recordedAt  int64
	// bound is true if startedAtMS is the bound of a departure with an unknown start time.
	bound  bool
	source DepartureSource
}

// covers is true if the incarnation may be one that has ended. Its ID is that of the
// record.
func (e endRecord) covers(i Incarnation) bool {
	return e.startedAtMS == 0 || i.StartedAtMS == 0 || i.StartedAtMS <= e.startedAtMS
}

// RecordDeparture records that an incarnation leaves. first is true if this was not known
// before; RecordedDeparture then returns what to tell peers and the store.
func (l *Lifecycle) RecordDeparture(now int64, d Departure) (first bool) {
	l.update(func() { first = l.markDeparted(now, d) })
	return first
}

// RecordedDeparture returns the latest incarnation with an ID that has departed. Its start
// time is the latest possible one if the departed process has not told its own.
func (l *Lifecycle) RecordedDeparture(id string) Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Incarnation{ID: id, StartedAtMS: l.departed[id].startedAtMS}
}

// CurrentDeparture returns how long ago the departure of the current incarnation was recorded,
// and its source; ok is false if it has not departed.
func (l *Lifecycle) CurrentDeparture(now int64) (age time.Duration, source DepartureSource, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, departed := l.departed[l.current.ID]
	if !departed || l.state != Leaving {
		return 0, 0, false
	}
	return time.Duration(now - end.recordedAt), end.source, true
}

// markDeparted records that the incarnations with the given ID have departed, up to and
// including the given one. first is true if this was not known before.
func (l *Lifecycle) markDeparted(now int64, d Departure) (first bool) {
	l.dropOldEndRecords(now)
	known, departed := l.departed[d.Incarnation.ID]
	incarnation, bound := l.resolveDeparture(d)
	if departed && (known.startedAtMS == 0 || bound && (known.bound || d.reported()) || incarnation.StartedAtMS != 0 && incarnation.StartedAtMS <= known.startedAtMS) {
		return false
	}
	end := endRecord{startedAtMS: incarnation.StartedAtMS, recordedAt: now, bound: bound, source: d.Source}
	l.departed[incarnation.ID] = end
	if l.current.ID == incarnation.ID && end.covers(l.current) {
		l.state = Leaving
	}
	return true
}

// resolveDeparture returns the incarnation that a departure stands for. Without a start time
// that is the current one, if it has the ID and may be the process that leaves. Otherwise
// bound is true, and the start time is the latest that the process can have.
func (l *Lifecycle) resolveDeparture(d Departure) (incarnation Incarnation, bound bool) {
	incarnation = d.Incarnation
	switch {
	case incarnation.StartedAtMS != 0:
		return incarnation, false
	case incarnation.ID == l.current.ID && l.current.StartedAtMS != 0 && d.mayBeOf(l.current):
		return l.current, false
	}
	incarnation.StartedAtMS = d.StartedByMS
	return incarnation, d.StartedByMS != 0
}

// mayBeOf is true if a departure without a start time may be that of the incarnation, which
// has its ID. Announcements are those of the current process, also if the clock was set back
// since its start.
func (d *Departure) mayBeOf(i Incarnation) bool {
	announced := d.Source == FromHeartbeat || d.Source == FromDeregistration
	return announced || d.StartedByMS == 0 || i.StartedAtMS <= d.StartedByMS
}

// reported is true if another daemon, or an earlier process of this one, heard the departure.
func (d *Departure) reported() bool { return d.Source == FromPeer || d.Source == FromStore }

// dropOldEndRecords removes end records that are older than endRetention.
func (l *Lifecycle) dropOldEndRecords(now int64) {
	for _, ends := range []map[string]endRecord{l.departed, l.replaced} {
		for id, end := range ends {
			if now-end.recordedAt > int64(endRetention) {
				delete(ends, id)
			}
		}
	}
}
