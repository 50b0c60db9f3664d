// Package retries limits how often all daemons together send requests of a service again: in
// each window at most a share of the requests, and a fixed number more, the slack. A daemon
// earns the share of its own requests. The slack is divided evenly among the daemons, or, where
// that would give a daemon less than one retry, among groups of daemons: one daemon of each
// group grants it. Times are nanoseconds of a monotonic clock that the caller passes in.
// Source: docs/design/retries.md.
package retries

import (
	"sync"
	"time"
)

const (
	// savedShare is the part of the ratio by which a daemon that shares its slack with a group
	// may save retries, per request of the last window. Together with the ratio it stays below
	// the platform's, of which the ratio is four fifths.
	savedShare = 3.0 / 16
	// MaxDebt limits how far charges may lower a balance below zero, in retries. It is a
	// quarter of the calls that one backend server makes to another service in the ten
	// seconds of the budget's window, at eight calls a second. A larger debt would
	// prevent retries for longer than the window.
	MaxDebt = 20
)

// Options configures the budget of one service.
type Options struct {
	// Ratio is the number of retries that one request earns.
	Ratio float64
	// Slack is the number of further retries in each window, over all daemons.
	Slack float64
	// Window is the time in which retries are counted.
	Window time.Duration
	// Daemons returns the number of daemons that share the slack; 0: not known yet.
	Daemons func() int
	// Restarted is true when an earlier process of the daemon may have used its part of the
	// slack in the current window.
	Restarted bool
	// Random returns a random number from 0 up to 1.
	Random func() float64
}

// Budget limits the retries of one service at this daemon. It is safe for concurrent use.
type Budget struct {
	opts Options

	mu sync.Mutex
	// tokens is the balance in retries. It is negative while more was charged than earned.
	tokens float64
	// filled is true once the balance was raised to the daemon's part of the slack.
	filled bool
	// threshold is the balance from which on a retry is given. It is drawn anew for each
	// request while the daemon has no part of the slack.
	threshold float64
	// requests counts the requests of the last window.
	requests windowCount
}

// NewBudget returns a budget that has earned nothing yet.
func NewBudget(opts Options) *Budget {
	return &Budget{opts: opts, threshold: 1, requests: windowCount{slot: max(int64(opts.Window)/windowSlots, 1)}}
}

// ownSlack returns the daemon's part of the slack; 0 if a group shares it, if the number of
// daemons is not known, or while an earlier process may have used it in the same window.
func (b *Budget) ownSlack(now int64) float64 {
	daemons := b.opts.Daemons()
	if daemons <= 0 || b.opts.Restarted && now < int64(b.opts.Window) {
		return 0
	}
	if part := b.opts.Slack / float64(daemons); part >= 1 {
		return part
	}
	return 0
}

// SharesSlack reports whether this daemon's part of the slack is less than one retry, so that
// its group holds it. It is false while the number of daemons is not known.
func (b *Budget) SharesSlack() bool { return IsShared(b.opts.Slack, b.opts.Daemons()) }

// IsShared reports whether groups of daemons share a slack.
func IsShared(slack float64, daemons int) bool { return daemons > 0 && slack < float64(daemons) }

// capacity returns the largest balance that may be saved, in retries.
func (b *Budget) capacity(now int64) float64 {
	if b.SharesSlack() {
		return savedShare * b.opts.Ratio * float64(b.requests.completed(now))
	}
	return b.ownSlack(now)
}

// Add earns retries for a number of requests, which may be a fraction.
func (b *Budget) Add(now int64, requests float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(now, requests)
	b.fill(now)
	capacity := b.capacity(now)
	if b.ownSlack(now) > 0 {
		b.tokens, b.threshold = min(b.tokens+requests*b.opts.Ratio, capacity), 1
		return
	}
	// What a single request earns is less than one retry: it is kept until the next request.
	b.tokens, b.threshold = min(b.tokens, capacity)+requests*b.opts.Ratio, 1-b.opts.Random()
}

// fill raises the balance to the daemon's part of the slack as soon as it has one.
func (b *Budget) fill(now int64) {
	if own := b.ownSlack(now); own > 0 && !b.filled {
		b.filled, b.tokens, b.threshold = true, max(b.tokens, own), 1
	}
}

// Charge lowers the balance by a number of retries, which may be a fraction.
func (b *Budget) Charge(retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = max(b.tokens-retries, -MaxDebt)
}

// Take takes one retry from the balance. It returns false if there is none. A balance below one
// retry gives one with that probability for each request, unless the daemon has a part of the
// slack, so that hundreds of daemons that each earn a fraction get the sum of these fractions
// and no more.
func (b *Budget) Take(now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.tokens < b.threshold {
		return false
	}
	b.tokens--
	return true
}

// CanTake reports whether Take would give a retry.
func (b *Budget) CanTake(now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	return b.tokens >= b.threshold
}

// Balance returns the number of retries that are left; it may be negative or a fraction.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// windowSlots is the number of slots into which a window is divided to count requests.
const windowSlots = 10

// windowCount counts requests in the slots of the last window.
type windowCount struct {
	// slot is the length of a slot in nanoseconds, last the number of the newest slot.
	slot, last int64
	counts     [windowSlots + 1]float64
}

func (w *windowCount) add(now int64, requests float64) {
	w.advance(now)
	w.counts[w.last%int64(len(w.counts))] += requests
}

// completed returns the requests of the last window without those of the newest slot.
func (w *windowCount) completed(now int64) (out float64) {
	w.advance(now)
	for i, count := range w.counts {
		if int64(i) != w.last%int64(len(w.counts)) {
			out += count
		}
	}
	return out
}

// advance empties the slots that have ended since the newest one.
func (w *windowCount) advance(now int64) {
	newest := now / w.slot
	if newest-w.last > windowSlots {
		clear(w.counts[:])
		w.last = newest
	}
	for w.last < newest {
		w.last++
		w.counts[w.last%int64(len(w.counts))] = 0
	}
}
