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
	self := &Backend{
		opts:    opts,
		started: time.Now(),
		ledger:  newLedger(),
		changed: make(chan struct{}),
		cancels: map[string]context.CancelFunc{},
	}
	return self
}

// Ledger returns the record of what really ran.
func (self *Backend) Ledger() *Ledger { return self.ledger }

// Shed counts calls that came while all slots were taken.
func (self *Backend) Shed() int64 { return self.shed.Load() }

// Running counts the calls that run now.
func (self *Backend) Running() int64 { return self.running.Load() }

// SetFaults replaces the faults in force. Running work changes its speed at
// once.
func (self *Backend) SetFaults(f Faults) {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.faults = f
	close(self.changed)
	self.changed = make(chan struct{})
}

// SetSpeed changes only the speed.
func (self *Backend) SetSpeed(speed float64) {
	f := self.CurrentFaults()
	f.Speed = speed
	self.SetFaults(f)
}

// CurrentFaults returns the faults in force.
func (self *Backend) CurrentFaults() Faults {
	self.mu.Lock()
	defer self.mu.Unlock()
	return self.faults
}

// pace returns the speed now, and when it must be looked at again.
func (self *Backend) pace(now time.Time) (speed float64, changed <-chan struct{}, until time.Duration) {
	self.mu.Lock()
	defer self.mu.Unlock()
	speed = self.faults.Speed
	if speed <= 0 {
		speed = 1
	}
	if cold := self.opts.ColdFor - now.Sub(self.started); cold > 0 && self.opts.ColdSpeed > 0 {
		return speed * self.opts.ColdSpeed, self.changed, cold
	}
	return speed, self.changed, 0
}

// work proceeds through the nominal time at the speed of each moment. It
// returns false when ctx ended first.
func (self *Backend) work(ctx context.Context, nominal time.Duration) bool {
	left := float64(nominal)
	for left > 0 {
		began := time.Now()
		speed, changed, until := self.pace(began)
		wait := time.Duration(left / speed)
		if until > 0 {
			wait = min(wait, until)
		}
		if !self.pause(ctx, wait, changed) {
			return false
		}
		left -= float64(time.Since(began)) * speed
	}
	return true
}

// pause waits for a time, or until the speed changes; false when ctx ended.
func (self *Backend) pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-self.opts.After(wait):
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
func (self *Backend) enter() bool {
	if self.running.Add(1) > int64(self.opts.Slots) {
		self.running.Add(-1)
		self.shed.Add(1)
		return false
	}
	return true
}

func (self *Backend) leave() { self.running.Add(-1) }

// register makes a call cancellable by the id that its executor gave it.
func (self *Backend) register(id string, cancel context.CancelFunc) {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.cancels[id] = cancel
}

func (self *Backend) unregister(id string) {
	self.mu.Lock()
	defer self.mu.Unlock()
	delete(self.cancels, id)
}

// Cancel ends a running call; false when it does not run.
func (self *Backend) Cancel(id string) bool {
	self.mu.Lock()
	cancel, ok := self.cancels[id]
	self.mu.Unlock()
	if ok {
		cancel()
	}
	return ok
}

// reportedLoad is what the load page says.
func (self *Backend) reportedLoad(now time.Time) int64 {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.loads = append(self.loads, loadSample{at: now, running: self.running.Load()})
	if self.faults.ReportZero {
		return 0
	}
	seen := now.Add(-self.faults.ReportLag)
	at := len(self.loads) - 1
	for at > 0 && self.loads[at].at.After(seen) {
		at--
	}
	reported := self.loads[at].running
	self.loads = self.loads[at:]
	return reported
}
