package backend

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/speed"
)

// Load is what the backend server said of itself last. It is safe for
// concurrent use.
type Load struct {
	// slowdown is in percent; 0: never told.
	slowdown atomic.Int64
	slots    atomic.Int64
	// updatedAt is when it was told, in nanoseconds of the daemon's clock.
	updatedAt atomic.Int64
}

// LoadReport is one report of a backend server's load.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes now, in percent of what is usual.
	Slowdown int
}

// ParseLoadReport reads the text of a load header; ok is false for other texts.
func ParseLoadReport(text string) (r LoadReport, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) < 3 {
		return LoadReport{}, false
	}
	r.Slowdown = speed.NormalPercent
	for i, into := range []*int{&r.Running, &r.Waiting, &r.Slots, &r.Slowdown} {
		if i >= len(fields) {
			break
		}
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 {
			return LoadReport{}, false
		}
		*into = n
	}
	return r, true
}

// Update notes a load header's text that came at now.
func (l *Load) Update(now int64, text string) {
	r, ok := ParseLoadReport(text)
	if !ok {
		return
	}
	l.slowdown.Store(int64(r.Slowdown))
	if r.Slots > 0 {
		l.slots.Store(int64(r.Slots))
	}
	l.updatedAt.Store(now)
}

// SetSlots notes how many requests run at once; 0 is passed over.
func (l *Load) SetSlots(n int) {
	if n > 0 {
		l.slots.Store(int64(n))
	}
}

// Slots returns how many requests run at once; 0: not known.
func (l *Load) Slots() int { return int(l.slots.Load()) }

// Slowdown returns the newest figure in percent; 0: never told.
func (l *Load) Slowdown() int { return int(l.slowdown.Load()) }

// Age is how old the newest figure is; the longest duration when there is none.
func (l *Load) Age(now int64) time.Duration {
	at := l.updatedAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(now - at)
}
