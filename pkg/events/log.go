package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// Repeats of one event beyond this rate are counted, not written. The next
// line that is written carries the count in the field "suppressed".
const (
	repeatsPerSecond = 5
	repeatBurst      = 20
)

// Field is one key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// F makes a Field.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

type limitedEntry struct {
	entry      Entry
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// Log writes numbered events as logfmt lines. It is safe for concurrent use.
type Log struct {
	out    log.Logger
	min    Level
	events map[ID]*limitedEntry
	mu     sync.Mutex
}

// NewLog makes a Log that writes lines at or above min to w. base fields stand
// on each line.
func NewLog(w io.Writer, min Level, base ...Field) *Log {
	out := log.NewLogfmtLogger(log.NewSyncWriter(w))
	out = log.With(out, "ts", log.DefaultTimestampUTC)
	for _, f := range base {
		out = log.With(out, f.Key, f.Value)
	}
	l := &Log{out: out, min: min, events: map[ID]*limitedEntry{}}
	for _, entry := range Catalogue() {
		l.events[entry.ID] = &limitedEntry{
			entry:   entry,
			limiter: rate.NewLimiter(repeatsPerSecond, repeatBurst),
		}
	}
	return l
}

// Discard returns a Log that writes nothing.
func Discard() *Log { return NewLog(io.Discard, Error) }

// Event writes one line for the event. An event without a catalogue entry is
// a fault of the code; the catalogue test finds it, and here it is written raw.
func (l *Log) Event(id ID, fields ...Field) {
	limited, ok := l.events[id]
	if !ok {
		l.write(Entry{ID: id, Level: Error, Text: "event without catalogue entry"}, 0, fields)
		return
	}
	if limited.entry.Level < l.min {
		return
	}
	if !limited.limiter.AllowN(time.Now(), 1) {
		limited.suppressed.Add(1)
		return
	}
	l.write(limited.entry, limited.suppressed.Swap(0), fields)
}

func (l *Log) write(entry Entry, suppressed int64, fields []Field) {
	line := make([]any, 0, 8+2*len(fields))
	line = append(line, "level", entry.Level.String(), "event", int(entry.ID), "msg", entry.Text)
	if suppressed > 0 {
		line = append(line, "suppressed", suppressed)
	}
	for _, f := range fields {
		line = append(line, f.Key, f.Value)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Nothing sensible can be done when the log itself cannot be written.
	_ = l.out.Log(line...)
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
