package connections

import (
	"sync/atomic"
	"time"
)

// Entry is a connection in a Table. It is safe for concurrent use. Methods of a nil Entry do
// nothing.
type Entry struct {
	table *Table
	// progressAt is when the peer last sent or took bytes or was answered, as a time since
	// the start of the table.
	progressAt atomic.Int64
	// runs counts the requests that run; the peer does not keep a connection waiting then.
	runs atomic.Int32

	// The mutex of the table guards the fields below.
	close func()
	bytes int
	open  bool
}

// Progress records that the peer has sent or taken bytes.
func (e *Entry) Progress() {
	if e != nil {
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

// stalledFor returns how long the peer has kept the connection waiting.
func (e *Entry) stalledFor(now time.Duration) time.Duration {
	if e.runs.Load() > 0 {
		return 0
	}
	return now - time.Duration(e.progressAt.Load())
}

// Grow adds bytes to the memory that the connection takes up. It returns false, and adds
// none, when they exceed the limits and no other connection may be closed, or when the
// connection is closed.
func (e *Entry) Grow(bytes int) bool {
	if e == nil || bytes <= 0 {
		return true
	}
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !e.open || !t.makeRoom(e, bytes, 0, minStall) {
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
