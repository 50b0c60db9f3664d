package events

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds are what a log may take.
type Bounds struct {
	LinesPerSecond int
	BytesPerSecond int
	// BufferBytes bounds what waits for a reader of the log.
	BufferBytes int
}

// reservedShare is the share of the budget and of the buffer that routine lines
// leave to the others.
const reservedShare = 0.25

// burstSeconds is for how many seconds of the budget a log may save up.
const burstSeconds = 2

// budget decides which lines are written. It is safe for concurrent use.
type budget struct {
	lines *rate.Limiter
	// bytes is charged with a line's length once it is encoded, so it may be
	// overdrawn by one line; nothing more is written until that is made up for.
	bytes *rate.Limiter
	// linesReserve and bytesReserve are what routine events leave.
	linesReserve, bytesReserve float64

	total atomic.Int64
	mu    sync.Mutex
	// counts are the lines left out of each event; told are those of them that a
	// line has told of.
	counts map[ID]int64
	told   map[ID]int64
}

// newBudget makes a budget.
func newBudget(b Bounds) *budget {
	out := &budget{lines: limiterOf(b.LinesPerSecond), bytes: limiterOf(b.BytesPerSecond), counts: map[ID]int64{}, told: map[ID]int64{}}
	out.linesReserve = reservedShare * float64(out.lines.Burst())
	out.bytesReserve = reservedShare * float64(out.bytes.Burst())
	return out
}

// limiterOf makes a limiter that saves up the budget of burstSeconds.
func limiterOf(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond*burstSeconds, 1))
}

func (b *budget) allows(now time.Time, routine bool) bool {
	lines, bytes := 1.0, 1.0
	if routine {
		lines += b.linesReserve
		bytes += b.bytesReserve
	}
	return b.lines.TokensAt(now) >= lines && b.bytes.TokensAt(now) >= bytes
}

func (b *budget) takeLine(now time.Time, routine bool) bool {
	return b.allows(now, routine) && b.lines.AllowN(now, 1)
}

// charge takes a line's length out of the budget. A line longer than all that can be
// saved up counts as that: the limiter knows no more.
func (b *budget) charge(now time.Time, length int) {
	b.bytes.ReserveN(now, min(length, b.bytes.Burst()))
}

func (b *budget) leaveOut(id ID) {
	b.total.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[id]++
}

// leftOut returns the events and counts that no line has told of yet.
func (b *budget) leftOut() (text string, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var parts []string
	for id, count := range b.counts {
		if fresh := count - b.told[id]; fresh > 0 {
			parts = append(parts, fmt.Sprintf("%d:%d", id, fresh))
			total += fresh
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " "), total
}

// reported notes that a line has told of all counts.
func (b *budget) reported() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, count := range b.counts {
		b.told[id] = count
	}
}
