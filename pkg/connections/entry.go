package connections

import (
	"sync/atomic"
	"time"
)

// Entry is a connection in a Table. It is safe for concurrent use. Methods of a nil Entry do
// nothing.
type Entry struct {
	table *Table
	// progressAt is when the peer last made progress or was answered, as a time since the
	// start of the table. received counts the bytes that it has sent since then.
	progressAt atomic.Int64
	received   atomic.Int64
	// runs counts the requests that run; the peer does not keep a connection waiting then.
	runs atomic.Int32
	// writes counts the writes that have not ended, and writeAt is when the peer last took
	// bytes of one.
	writes  atomic.Int32
	writeAt atomic.Int64

	// The mutex of the table guards the fields below.
	close func()
	bytes int
	open  bool
	// body is the body that is being received, or nil.
	body Body
}

// minProgressBytes is how many bytes a peer has to send to make progress. A byte now and then is
// none.
const minProgressBytes = 1 << 10

// Received records that the peer has sent bytes.
func (e *Entry) Received(bytes int) {
	if e != nil && e.received.Add(int64(bytes)) >= minProgressBytes {
		e.Progress()
	}
}

// Progress records that the peer makes progress.
func (e *Entry) Progress() {
	if e != nil {
		e.received.Store(0)
		e.progressAt.Store(int64(time.Since(e.table.start)))
	}
}

// BeginRun records that a request of the connection has been received and runs from now on.
func (e *Entry) BeginRun() {
	if e != nil {
		e.runs.Add(1)
	}
}

// EndRun records that a request does not run any more.
func (e *Entry) EndRun() {
	if e != nil {
		e.Progress()
		e.runs.Add(-1)
	}
}

// BeginWrite records that bytes are being written to the peer, until EndWrite.
func (e *Entry) BeginWrite() {
	if e != nil {
		e.WriteProgress()
		e.writes.Add(1)
	}
}

// WriteProgress records that the peer has taken bytes.
func (e *Entry) WriteProgress() {
	if e != nil {
		e.writeAt.Store(int64(time.Since(e.table.start)))
	}
}

// EndWrite records that the bytes are written.
func (e *Entry) EndWrite() {
	if e != nil {
		e.Progress()
		e.writes.Add(-1)
	}
}

// IsWriting reports whether bytes are being written to the peer.
func (e *Entry) IsWriting() bool { return e != nil && e.writes.Load() > 0 }

// stalledFor returns how long the peer has kept the connection waiting. waiting is false
// when the connection does not wait for the peer.
func (e *Entry) stalledFor(now time.Duration) (stalled time.Duration, waiting bool) {
	if e.writes.Load() > 0 {
		return now - time.Duration(e.writeAt.Load()), true
	}
	return now - time.Duration(e.progressAt.Load()), e.runs.Load() == 0
}

// Grow adds bytes to the memory that the connection takes up. It returns false, and adds
// none, when they exceed the limits and no other connection may be closed, or when the
// connection is closed.
func (e *Entry) Grow(bytes int) bool {
	if e == nil {
		return true
	}
	return e.grow(bytes, e.table.limits.MinStall)
}

// GrowAtOnce is Grow for memory that is already in use: it closes other connections that wait
// for their peers even if they have not stalled for long.
func (e *Entry) GrowAtOnce(bytes int) bool { return e.grow(bytes, 0) }

func (e *Entry) grow(bytes int, stall time.Duration) bool {
	if e == nil || bytes <= 0 {
		return true
	}
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !e.open || !t.makeRoom(e, bytes, 0, stall) {
		return false
	}
	e.bytes += bytes
	t.bytes += bytes
	return true
}

// Shrink returns bytes that Grow has added.
func (e *Entry) Shrink(bytes int) {
	if e == nil || bytes <= 0 {
		return
	}
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.open {
		e.bytes -= bytes
		e.table.bytes -= bytes
	}
}

// Close removes the connection from the table.
func (e *Entry) Close() {
	if e == nil {
		return
	}
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.table.remove(e)
}
