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

// Bounds limits the rate and the memory of a Log.
type Bounds struct {
	LinesPerSecond int
	BytesPerSecond int
	// BufferBytes is the size of the buffer for lines that are not written yet.
	BufferBytes int
}

// reservedShare is the share of the budget and of the buffer that routine lines must not
// use.
const reservedShare = 0.25

// burstSeconds is the number of seconds for which unused budget accumulates.
const burstSeconds = 2

// budget limits the rate of lines by two token buckets, and counts the dropped lines. It is
// safe for concurrent use.
type budget struct {
	lines *rate.Limiter
	// bytes is charged with the length of a line after it is encoded, so the balance may
	// become negative. No line is allowed until it is positive again.
	bytes *rate.Limiter
	// reservedLines and reservedBytes are the tokens that routine lines must not use.
	reservedLines, reservedBytes float64

	// total counts the dropped lines.
	total atomic.Int64
	mu    sync.Mutex
	// dropped counts the dropped lines of each event; reported holds the counts at the
	// last report.
	dropped  map[ID]int64
	reported map[ID]int64
}

func newBudget(b Bounds) *budget {
	out := &budget{lines: newLimiter(b.LinesPerSecond), bytes: newLimiter(b.BytesPerSecond), dropped: map[ID]int64{}, reported: map[ID]int64{}}
	out.reservedLines = reservedShare * float64(out.lines.Burst())
	out.reservedBytes = reservedShare * float64(out.bytes.Burst())
	return out
}

// newLimiter returns a token bucket with the capacity of burstSeconds.
func newLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond*burstSeconds, 1))
}

// allows reports whether a line may be written now.
func (b *budget) allows(now time.Time, routine bool) bool {
	lines, bytes := 1.0, 1.0
	if routine {
		lines += b.reservedLines
		bytes += b.reservedBytes
	}
	return b.lines.TokensAt(now) >= lines && b.bytes.TokensAt(now) >= bytes
}

// takeLine takes the token of a line. It returns false if the line must be dropped.
func (b *budget) takeLine(now time.Time, routine bool) bool {
	return b.allows(now, routine) && b.lines.AllowN(now, 1)
}

// charge takes the tokens for the length of a line. A line longer than the capacity of the
// bucket is charged at that capacity, the most that the limiter accepts.
func (b *budget) charge(now time.Time, length int) {
	b.bytes.ReserveN(now, min(length, b.bytes.Burst()))
}

// recordDropped counts a dropped line.
func (b *budget) recordDropped(id ID) {
	b.total.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped[id]++
}

// unreported returns the number of lines dropped since the last report: by event, as
// "NUMBER:COUNT NUMBER:COUNT", and in total.
func (b *budget) unreported() (byEvent string, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var parts []string
	for id, count := range b.dropped {
		if added := count - b.reported[id]; added > 0 {
			parts = append(parts, fmt.Sprintf("%d:%d", id, added))
			total += added
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " "), total
}

// markReported records that all dropped lines were reported.
func (b *budget) markReported() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, count := range b.dropped {
		b.reported[id] = count
	}
}
