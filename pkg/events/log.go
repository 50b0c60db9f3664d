package events

import (
	"io"
	"time"

	"github.com/go-kit/log"
)

// Field is one key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// F makes a Field.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

// Log writes numbered events as logfmt lines. It is safe for concurrent use.
type Log struct {
	min     Level
	entries map[ID]Entry
	// important and routine take encoded lines; they differ in what they may
	// use of the budget.
	important log.Logger
	routine   log.Logger
	// budget is nil for a log without bounds.
	budget *budget
	buffer *buffer
}

// NewLog makes a Log that writes lines at or above min to w, each before Event
// returns and without bounds: for short commands and tests. base fields stand
// on each line.
func NewLog(w io.Writer, min Level, base ...Field) *Log {
	out := newLog(min)
	out.important = encoder(log.NewSyncWriter(w), base)
	out.routine = out.important
	return out
}

// NewBoundedLog makes a Log whose lines keep within bounds and never wait for
// w: they go through a buffer, and what does not fit is left out and counted.
// Routine lines are left out first. Close writes what is in the buffer.
func NewBoundedLog(w io.Writer, min Level, bounds Bounds, base ...Field) *Log {
	out := newLog(min)
	out.buffer = newBuffer(w, bounds.BufferBytes)
	out.budget = newBudget(bounds)
	out.important = encoder(charged{out.buffer.important(), out.budget}, base)
	out.routine = encoder(charged{out.buffer.routine(), out.budget}, base)
	go out.report()
	return out
}

// Discard returns a Log that writes nothing.
func Discard() *Log { return NewLog(io.Discard, nothing) }

// charged passes encoded lines on, one a call, and charges the budget with those
// that were taken.
type charged struct {
	to     io.Writer
	budget *budget
}

// Write implements io.Writer.
func (c charged) Write(line []byte) (int, error) {
	n, err := c.to.Write(line)
	if err == nil {
		c.budget.charge(time.Now(), len(line))
	}
	return n, err
}

func newLog(min Level) *Log {
	out := &Log{min: min, entries: map[ID]Entry{}}
	for _, entry := range Catalogue() {
		out.entries[entry.ID] = entry
	}
	return out
}

func encoder(w io.Writer, base []Field) log.Logger {
	out := log.With(log.NewLogfmtLogger(w), "ts", log.DefaultTimestampUTC)
	for _, f := range base {
		out = log.With(out, f.Key, f.Value)
	}
	return out
}

// Enabled is true when a line of the event would be written now. Callers ask it
// before they put together what is long.
func (l *Log) Enabled(id ID) bool {
	entry := l.entry(id)
	if entry.Level < l.min {
		return false
	}
	if l.budget == nil {
		return true
	}
	if !l.budget.allows(time.Now(), entry.Routine) {
		l.budget.leaveOut(id)
		return false
	}
	return true
}

// Event writes one line for the event, or counts it as left out.
func (l *Log) Event(id ID, fields ...Field) {
	entry := l.entry(id)
	if entry.Level < l.min {
		return
	}
	if l.budget != nil && !l.budget.takeLine(time.Now(), entry.Routine) {
		l.budget.leaveOut(id)
		return
	}
	l.write(entry, fields)
}

// entry returns the catalogue's row. An event without one is a fault of the
// code; the catalogue's test finds it, and here it is written raw.
func (l *Log) entry(id ID) Entry {
	if entry, ok := l.entries[id]; ok {
		return entry
	}
	return Entry{ID: id, Level: Error, Text: "event without catalogue entry"}
}

func (l *Log) write(entry Entry, fields []Field) {
	const headFields = 6
	line := make([]any, 0, headFields+2*len(fields))
	line = append(line, "level", entry.Level.String(), "event", int(entry.ID), "msg", entry.Text)
	for _, f := range fields {
		line = append(line, f.Key, f.Value)
	}
	to := l.important
	if entry.Routine {
		to = l.routine
	}
	// Nothing sensible can be done when a log without bounds cannot be written;
	// a full buffer refuses the line.
	if err := to.Log(line...); err != nil && l.budget != nil {
		l.budget.leaveOut(entry.ID)
	}
}

// reportEvery is the time between two lines on what was left out.
const reportEvery = time.Second

// report says what was left out, until the log is closed.
func (l *Log) report() {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-l.buffer.closing:
			return
		case <-ticker.C:
			l.reportOnce()
		}
	}
}

// reportOnce writes one line with what was left out since the last one, whatever is
// left of the budget; a line that the buffer refuses is made up for by the next.
func (l *Log) reportOnce() {
	text, total := l.budget.leftOut()
	if total == 0 {
		return
	}
	entry := l.entry(LinesDropped)
	err := l.important.Log("level", entry.Level.String(), "event", int(entry.ID), "msg", entry.Text, "lines", total, "by_event", text)
	if err == nil {
		l.budget.reported()
	}
}

// Dropped counts the lines that were left out since the start.
func (l *Log) Dropped() int64 {
	if l.budget == nil {
		return 0
	}
	return l.budget.total.Load()
}

// Close writes what is in the buffer, for as long as patience at most.
func (l *Log) Close(patience time.Duration) {
	if l.buffer == nil {
		return
	}
	l.reportOnce()
	l.buffer.close(patience)
}

// ParseLevel turns a settings word into a Level; ok is false for other words.
func ParseLevel(word string) (level Level, ok bool) {
	for i, name := range levelNames {
		if name == word {
			return Level(i), true
		}
	}
	return Info, false
}
