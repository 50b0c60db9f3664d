// Package backend is a stand-in for a backend server. It has slots and service
// times, and can slow down, shed calls, fail fast, start cold and cancel calls;
// its load page can lag or report no load. Its ledger records which calls it
// really ran. Source: brief, "What the platform gives" and "What fails".
package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Faults sets how the stand-in misbehaves. The zero value is no fault.
type Faults struct {
	// Speed is the speed of calls relative to normal: 0.1 is ten times slower,
	// and 0 means 1.
	Speed float64 `yaml:"speed" json:"speed"`
	// FailFast answers each call at once with status 500, without running it.
	FailFast bool `yaml:"fail_fast" json:"fail_fast"`
	// ReportZero makes the load page report no load.
	ReportZero bool `yaml:"report_zero" json:"report_zero"`
	// ReportLag is the age of the load that the load page reports.
	ReportLag time.Duration `yaml:"report_lag" json:"report_lag"`
	// CutAnswers closes the connection in the middle of each answer.
	CutAnswers bool `yaml:"cut_answers" json:"cut_answers"`
	// Broken is the name of the entry in broken.Answers that is sent instead of each answer,
	// without its resets; empty: none.
	Broken string `yaml:"broken" json:"broken"`
}

// Options sets the number of slots, the cold start and the timers of the
// stand-in.
type Options struct {
	// Slots is the number of calls that run at the same time; calls beyond it
	// are shed with status 503.
	Slots int
	// ColdFor is how long the stand-in runs calls at ColdSpeed, a factor on
	// Faults.Speed, after its start.
	ColdFor   time.Duration
	ColdSpeed float64
	// After returns a channel that is closed after the duration; nil uses the
	// runtime's timers, which may fire up to a millisecond late.
	After func(time.Duration) <-chan struct{}
}

// Backend is the stand-in for one backend server. It is safe for concurrent
// use.
type Backend struct {
	opts    Options
	started time.Time
	ledger  *Ledger

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	cancels map[string]context.CancelFunc

	running atomic.Int64
	shed    atomic.Int64
	// loads holds past values of running, for a load page that lags.
	loads []loadSample
}

type loadSample struct {
	at      time.Time
	running int64
}

// New returns a stand-in without faults.
func New(opts Options) *Backend {
	if opts.After == nil {
		opts.After = runtimeAfter
	}
	b := &Backend{
		opts:    opts,
		started: time.Now(),
		ledger:  newLedger(),
		changed: make(chan struct{}),
		cancels: map[string]context.CancelFunc{},
	}
	return b
}

// Ledger returns the record of the calls that began to run.
func (b *Backend) Ledger() *Ledger { return b.ledger }

// Shed returns the number of calls rejected because all slots were taken.
func (b *Backend) Shed() int64 { return b.shed.Load() }

// Running returns the number of calls running now.
func (b *Backend) Running() int64 { return b.running.Load() }

// SetFaults replaces the current faults. A new speed also applies to calls that
// already run.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetSpeed changes the speed and leaves the other faults as they are.
func (b *Backend) SetSpeed(speed float64) {
	f := b.CurrentFaults()
	f.Speed = speed
	b.SetFaults(f)
}

// CurrentFaults returns the faults set last.
func (b *Backend) CurrentFaults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// currentSpeed returns the speed at the time now, a channel that is closed when
// the faults change, and the time left of the cold start, after which the speed
// changes as well; 0 when the stand-in is warm.
func (b *Backend) currentSpeed(now time.Time) (speed float64, changed <-chan struct{}, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	speed = b.faults.Speed
	if speed <= 0 {
		speed = 1
	}
	if cold := b.opts.ColdFor - now.Sub(b.started); cold > 0 && b.opts.ColdSpeed > 0 {
		return speed * b.opts.ColdSpeed, b.changed, cold
	}
	return speed, b.changed, 0
}

// work simulates a call with the given service time at normal speed: it waits
// that time divided by the current speed, and adapts when the speed changes. It
// returns false when ctx ends first.
func (b *Backend) work(ctx context.Context, nominal time.Duration) bool {
	left := float64(nominal)
	for left > 0 {
		began := time.Now()
		speed, changed, until := b.currentSpeed(began)
		wait := time.Duration(left / speed)
		if until > 0 {
			wait = min(wait, until)
		}
		if !b.pause(ctx, wait, changed) {
			return false
		}
		left -= float64(time.Since(began)) * speed
	}
	return true
}

// pause waits for the duration or until changed is closed. It returns false
// when ctx ends first.
func (b *Backend) pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-b.opts.After(wait):
		return true
	}
}

// runtimeAfter implements Options.After with the runtime's timers.
func runtimeAfter(wait time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(wait, func() { close(done) })
	return done
}

// acquireSlot returns false when all slots are taken.
func (b *Backend) acquireSlot() bool {
	if b.running.Add(1) > int64(b.opts.Slots) {
		b.running.Add(-1)
		b.shed.Add(1)
		return false
	}
	return true
}

func (b *Backend) releaseSlot() { b.running.Add(-1) }

// register lets Cancel end the call with the id that its executor gave it.
func (b *Backend) register(id string, cancel context.CancelFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancels[id] = cancel
}

func (b *Backend) unregister(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cancels, id)
}

// Cancel ends a running call. It returns false when no such call runs.
func (b *Backend) Cancel(id string) bool {
	b.mu.Lock()
	cancel, ok := b.cancels[id]
	b.mu.Unlock()
	if ok {
		cancel()
	}
	return ok
}

// reportedLoad returns the number of running calls that the load page shows:
// with ReportLag an older one, with ReportZero always 0.
func (b *Backend) reportedLoad(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads = append(b.loads, loadSample{at: now, running: b.running.Load()})
	if b.faults.ReportZero {
		return 0
	}
	oldEnough := now.Add(-b.faults.ReportLag)
	i := len(b.loads) - 1
	for i > 0 && b.loads[i].at.After(oldEnough) {
		i--
	}
	reported := b.loads[i].running
	b.loads = b.loads[i:]
	return reported
}
