// Package backend is a small stand-in for a backend server: slots, service
// times, slow-down, shedding, fast failures, cold start, cancellation, and load
// and health pages that lag or mislead. Its ledger says which calls it really
// ran. Source: brief, "What the platform gives" and "What fails".
package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Faults is how the stand-in misbehaves.
type Faults struct {
	// Speed is how fast work proceeds; 1 is usual, 0.1 is slowed tenfold. 0
	// stands for 1.
	Speed float64 `yaml:"speed" json:"speed"`
	// FailFast answers each call at once with status 500, without running it.
	FailFast bool `yaml:"fail_fast" json:"fail_fast"`
	// ReportZero makes the load page report no load.
	ReportZero bool `yaml:"report_zero" json:"report_zero"`
	// ReportLag is the age of what the load page reports.
	ReportLag time.Duration `yaml:"report_lag" json:"report_lag"`
	// CutAnswers breaks off the connection in the middle of each answer.
	CutAnswers bool `yaml:"cut_answers" json:"cut_answers"`
}

// Options are the size of the stand-in.
type Options struct {
	// Slots is how many calls run at once; more are shed with status 503.
	Slots int
	// ColdFor is how long the stand-in runs at ColdSpeed after its start.
	ColdFor   time.Duration
	ColdSpeed float64
	// After wakes a call when its time has passed; nil takes the runtime's
	// timers, which are late by up to a millisecond.
	After func(time.Duration) <-chan struct{}
}

// Backend is the stand-in. It is safe for concurrent use.
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
	// loads are past values of running, for a load page that lags.
	loads []loadSample
}

type loadSample struct {
	at      time.Time
	running int64
}

// New makes a stand-in.
func New(opts Options) *Backend {
	if opts.After == nil {
		opts.After = after
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

// Ledger returns the record of what really ran.
func (b *Backend) Ledger() *Ledger { return b.ledger }

// Shed counts calls that came while all slots were taken.
func (b *Backend) Shed() int64 { return b.shed.Load() }

// Running counts the calls that run now.
func (b *Backend) Running() int64 { return b.running.Load() }

// SetFaults replaces the faults in force. Running work changes its speed at
// once.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetSpeed changes only the speed.
func (b *Backend) SetSpeed(speed float64) {
	f := b.CurrentFaults()
	f.Speed = speed
	b.SetFaults(f)
}

// CurrentFaults returns the faults in force.
func (b *Backend) CurrentFaults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// pace returns the speed now, and when it must be looked at again.
func (b *Backend) pace(now time.Time) (speed float64, changed <-chan struct{}, until time.Duration) {
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

// work proceeds through the nominal time at the speed of each moment. It
// returns false when ctx ended first.
func (b *Backend) work(ctx context.Context, nominal time.Duration) bool {
	left := float64(nominal)
	for left > 0 {
		began := time.Now()
		speed, changed, until := b.pace(began)
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

// pause waits for a time, or until the speed changes; false when ctx ended.
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

// after is Options.After with the runtime's timers.
func after(wait time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(wait, func() { close(done) })
	return done
}

// enter takes a slot; false when none is free.
func (b *Backend) enter() bool {
	if b.running.Add(1) > int64(b.opts.Slots) {
		b.running.Add(-1)
		b.shed.Add(1)
		return false
	}
	return true
}

func (b *Backend) leave() { b.running.Add(-1) }

// register makes a call cancellable by the id that its executor gave it.
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

// Cancel ends a running call; false when it does not run.
func (b *Backend) Cancel(id string) bool {
	b.mu.Lock()
	cancel, ok := b.cancels[id]
	b.mu.Unlock()
	if ok {
		cancel()
	}
	return ok
}

// reportedLoad is what the load page says.
func (b *Backend) reportedLoad(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads = append(b.loads, loadSample{at: now, running: b.running.Load()})
	if b.faults.ReportZero {
		return 0
	}
	seen := now.Add(-b.faults.ReportLag)
	at := len(b.loads) - 1
	for at > 0 && b.loads[at].at.After(seen) {
		at--
	}
	reported := b.loads[at].running
	b.loads = b.loads[at:]
	return reported
}
