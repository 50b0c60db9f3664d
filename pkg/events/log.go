package events

import (
	"io"
	"time"

	"github.com/go-kit/log"
)

// Field is a key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// F returns a Field.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

// Log writes events as logfmt lines. It is safe for concurrent use.
type Log struct {
	min     Level
	entries map[ID]Entry
	// routine encodes the lines of routine events, important all others. Routine lines
	// may use only a part of the buffer.
	important log.Logger
	routine   log.Logger
	// budget is nil for a log without bounds.
	budget *budget
	buffer *buffer
}

// NewLog returns a Log that writes events of level min and above to w. It is for short
// commands and tests: each line is written before Event returns, and there are no bounds.
// Each line has the fields base.
func NewLog(w io.Writer, min Level, base ...Field) *Log {
	out := newLog(min)
	out.important = newEncoder(log.NewSyncWriter(w), base)
	out.routine = out.important
	return out
}

// NewBoundedLog returns a Log that never blocks on w: lines go through a buffer. Lines that
// exceed the bounds are dropped and counted, routine lines first. Close writes the lines in
// the buffer.
func NewBoundedLog(w io.Writer, min Level, bounds Bounds, base ...Field) *Log {
	out := newLog(min)
	out.buffer = newBuffer(w, bounds.BufferBytes)
	out.budget = newBudget(bounds)
	out.important = newEncoder(chargingWriter{out.buffer.important(), out.budget}, base)
	out.routine = newEncoder(chargingWriter{out.buffer.routine(), out.budget}, base)
	go out.reportLoop()
	return out
}

// Discard returns a Log that writes nothing.
func Discard() *Log { return NewLog(io.Discard, off) }

// chargingWriter passes on encoded lines, one per Write, and charges the budget for each
// line that was accepted.
type chargingWriter struct {
	to     io.Writer
	budget *budget
}

// Write implements io.Writer.
func (c chargingWriter) Write(line []byte) (int, error) {
	n, err := c.to.Write(line)
	if err == nil {
		c.budget.charge(time.Now(), len(line))
	}
	return n, err
}

// newLog returns a Log with the catalogue and without outputs.
func newLog(min Level) *Log {
	out := &Log{min: min, entries: map[ID]Entry{}}
	for _, entry := range Catalogue() {
		out.entries[entry.ID] = entry
	}
	return out
}

// newEncoder returns a logger that writes logfmt lines with a time stamp and the fields
// base to w.
func newEncoder(w io.Writer, base []Field) log.Logger {
	out := log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC)
	for _, f := range base {
		out = log.With(out, f.Key, f.Value)
	}
	return out
}

// Enabled reports whether a line of the event would be written now, and counts it as dropped
// if the budget does not allow it. It is called before building expensive fields.
func (l *Log) Enabled(id ID) bool {
	entry := l.entry(id)
	if entry.Level < l.min {
		return false
	}
	if l.budget == nil {
		return true
	}
	if !l.budget.allows(time.Now(), entry.Routine) {
		l.budget.recordDropped(id)
		return false
	}
	return true
}

// Event writes a line for the event, or drops and counts it if it exceeds the bounds.
func (l *Log) Event(id ID, fields ...Field) {
	entry := l.entry(id)
	if entry.Level < l.min {
		return
	}
	if l.budget != nil && !l.budget.takeLine(time.Now(), entry.Routine) {
		l.budget.recordDropped(id)
		return
	}
	l.write(entry, fields)
}

// entry returns the catalogue's entry of an event. An event without one is a bug, which a
// test of the catalogue detects; it is logged as an error.
func (l *Log) entry(id ID) Entry {
	if entry, ok := l.entries[id]; ok {
		return entry
	}
	return Entry{ID: id, Level: Error, Text: "event without catalogue entry"}
}

func (l *Log) write(entry Entry, fields []Field) {
	const fixedFields = 6
	line := make([]any, 0, fixedFields+2*len(fields))
	line = append(line, "level", entry.Level.String(), "event", int(entry.ID), "msg", entry.Text)
	for _, f := range fields {
		line = append(line, f.Key, f.Value)
	}
	to := l.important
	if entry.Routine {
		to = l.routine
	}
	// With bounds, an error means that the buffer is full. An error of a log without bounds
	// cannot be reported anywhere.
	if err := to.Log(line...); err != nil && l.budget != nil {
		l.budget.recordDropped(entry.ID)
	}
}

// reportInterval is the time between two reports of dropped lines.
const reportInterval = time.Second

// reportLoop reports dropped lines until the log is closed.
func (l *Log) reportLoop() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.buffer.closing:
			return
		case <-ticker.C:
			l.reportDropped()
		}
	}
}

// reportDropped writes a line about the lines dropped since the last report, regardless of
// the budget. If the buffer is full, the next report includes them.
func (l *Log) reportDropped() {
	byEvent, total := l.budget.unreported()
	if total == 0 {
		return
	}
	entry := l.entry(LinesDropped)
	err := l.important.Log("level", entry.Level.String(), "event", int(entry.ID), "msg", entry.Text, "lines", total, "by_event", byEvent)
	if err == nil {
		l.budget.markReported()
	}
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() int64 {
	if l.budget == nil {
		return 0
	}
	return l.budget.total.Load()
}

// Close waits until the lines in the buffer are written, at most for the timeout.
func (l *Log) Close(timeout time.Duration) {
	if l.buffer == nil {
		return
	}
	l.reportDropped()
	l.buffer.close(timeout)
}

// ParseLevel returns the Level with the name text; ok is false if there is none.
func ParseLevel(text string) (level Level, ok bool) {
	for i, name := range levelNames {
		if name == text {
			return Level(i), true
		}
	}
	return Info, false
}
