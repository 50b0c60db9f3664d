package backend

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/speed"
)

// Load holds the newest load that the backend server reported. It is safe for
// concurrent use.
type Load struct {
	// slowdown is in percent; 0: never reported.
	slowdown atomic.Int64
	slots    atomic.Int64
	// updatedAt is the time of the last load report, in nanoseconds of the daemon's
	// clock; 0: none yet.
	updatedAt atomic.Int64
}

// LoadReport is a parsed load header.
type LoadReport struct {
	// Running and Waiting count requests. Slots is how many run at once.
	Running, Waiting, Slots int
	// Slowdown is how long work takes now, in percent of the time at normal speed.
	Slowdown int
}

const (
	// MaxSlots is the most requests that a backend server can run at once. A daemon starts as
	// many requests as there are slots.
	MaxSlots = math.MaxUint16
	// maxSlowdown is the largest slowdown, in percent, that a load header may state.
	maxSlowdown = 1000 * speed.NormalPercent
)

// ParseLoadReport parses a load header: running, waiting, slots and, optionally, the
// slowdown in percent, separated by commas. ok is false for any other text, and for slots and
// slowdowns that no backend server has.
func ParseLoadReport(text string) (r LoadReport, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) < 3 {
		return LoadReport{}, false
	}
	r.Slowdown = speed.NormalPercent
	for i, dst := range []*int{&r.Running, &r.Waiting, &r.Slots, &r.Slowdown} {
		if i >= len(fields) {
			break
		}
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 {
			return LoadReport{}, false
		}
		*dst = n
	}
	if r.Slots > MaxSlots || r.Slowdown > maxSlowdown {
		return LoadReport{}, false
	}
	return r, true
}

// Update applies the text of a load header that arrived at now. It ignores invalid
// texts.
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

// SetSlots sets how many requests run at once; 0 is ignored.
func (l *Load) SetSlots(n int) {
	if n > 0 {
		l.slots.Store(int64(n))
	}
}

// Slots returns how many requests run at once; 0: unknown.
func (l *Load) Slots() int { return int(l.slots.Load()) }

// Slowdown returns the newest slowdown in percent; 0: never reported.
func (l *Load) Slowdown() int { return int(l.slowdown.Load()) }

// Age returns the time since the last load report, or the longest duration if there is
// none.
func (l *Load) Age(now int64) time.Duration {
	updatedAt := l.updatedAt.Load()
	if updatedAt == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(now - updatedAt)
}
