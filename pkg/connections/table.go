// Package connections limits the memory and the number of the connections of a listener. When
// a limit is reached, it closes connections whose peers have kept them waiting for long, so
// that other peers are still served. Source: docs/design/crowds.md.
package connections

import (
	"cmp"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// connBytes is Limits.ConnBytes where it is 0.
	connBytes = 32 << 10
	// minStall is Limits.MinStall where it is 0.
	minStall = time.Second
	// largeBytes is the size above which growth is large. The last quarter of the memory is
	// kept for small growth, which ordinary peers need.
	largeBytes = 64 << 10
)

// Limits are the limits of a Table; 0 means none.
type Limits struct {
	// Bytes limits the memory that the connections take up.
	Bytes int
	// Count limits the number of connections.
	Count int
	// ConnBytes is the memory that an open connection takes up by itself; 0 means 32 kB.
	ConnBytes int
	// MinStall is the shortest time without progress after which a connection may be closed
	// to make room; 0 means a second.
	MinStall time.Duration
}

// Table holds the open connections of a listener. It is safe for concurrent use. A nil Table
// has no limits.
type Table struct {
	limits Limits
	// start is the zero of the entries' times.
	start   time.Time
	evicted *metrics.Counter
	refused *metrics.Counter

	mu    sync.Mutex
	open  map[*Entry]struct{}
	bytes int
}

// NewTable returns an empty table. Its metrics in set contain the name of the listener.
func NewTable(listener string, limits Limits, set *metrics.Set) *Table {
	limits.ConnBytes, limits.MinStall = cmp.Or(limits.ConnBytes, connBytes), cmp.Or(limits.MinStall, minStall)
	label := `{listener="` + listener + `"}`
	t := &Table{
		limits: limits, start: time.Now(), open: map[*Entry]struct{}{},
		evicted: set.NewCounter("rushramp_connections_evicted_total" + label),
		refused: set.NewCounter("rushramp_connections_refused_total" + label),
	}
	set.NewGauge("rushramp_connections_open"+label, func() float64 { return float64(t.count()) })
	set.NewGauge("rushramp_connections_bytes"+label, func() float64 { return float64(t.held()) })
	return t
}

func (t *Table) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

func (t *Table) held() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

// NewEntry returns the entry of a connection that Open adds. It is nil if the table is.
func (t *Table) NewEntry() *Entry {
	if t == nil {
		return nil
	}
	return &Entry{table: t}
}

// Open adds a connection, which closeConn closes. It returns false when the limits do not
// admit the connection.
func (t *Table) Open(e *Entry, closeConn func()) bool {
	if t == nil {
		return true
	}
	e.Progress()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.makeRoom(e, t.limits.ConnBytes, 1, t.limits.MinStall) {
		t.refused.Inc()
		return false
	}
	e.close, e.bytes, e.open = closeConn, t.limits.ConnBytes, true
	t.open[e] = struct{}{}
	t.bytes += t.limits.ConnBytes
	return true
}

// makeRoom closes connections other than e that have stalled for at least stall, until bytes
// more bytes and count more connections are within the limits. It returns false when these
// do not suffice. The caller holds mu.
func (t *Table) makeRoom(e *Entry, bytes, count int, stall time.Duration) bool {
	for !t.fits(bytes, count) {
		victim := t.costliest(e, stall, func(other *Entry) float64 { return float64(other.bytes) })
		if victim == nil {
			return false
		}
		t.evict(victim)
	}
	return true
}

func (t *Table) fits(bytes, count int) bool {
	limit := t.limits.Bytes
	if count == 0 && bytes > largeBytes {
		limit -= limit / 4
	}
	return (t.limits.Bytes == 0 || t.bytes+bytes <= limit) && (t.limits.Count == 0 || len(t.open)+count <= t.limits.Count)
}

// costliest returns the connection that has held the most memory for the longest time without
// progress: the one with the largest product of both. It returns nil if none may be closed.
func (t *Table) costliest(except *Entry, stall time.Duration, held func(*Entry) float64) *Entry {
	now := time.Since(t.start)
	var out *Entry
	highest := 0.0
	for e := range t.open {
		stalled, waiting := e.stalledFor(now)
		if e == except || !waiting || stalled < stall {
			continue
		}
		if cost := held(e) * max(float64(stalled), 1); cost > highest {
			out, highest = e, cost
		}
	}
	return out
}

// evict closes a connection to make room. The caller holds mu.
func (t *Table) evict(e *Entry) {
	t.evicted.Inc()
	t.remove(e)
	// Closing takes locks of the connection, which may wait for the table.
	go e.close()
}

// remove removes an entry. The caller holds mu.
func (t *Table) remove(e *Entry) {
	if !e.open {
		return
	}
	e.open = false
	delete(t.open, e)
	t.bytes -= e.bytes
	e.bytes = 0
}
