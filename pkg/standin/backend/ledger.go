package backend

import (
	"sync"
	"time"
)

// Ledger is the record of which calls a backend server began to run.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]Run
	last time.Time
}

// Run is what the ledger holds of one call.
type Run struct {
	// Times counts how often the call began.
	Times int `json:"times"`
	// Key is the call's Idempotency-Key, or empty.
	Key string `json:"key"`
	// At is when it began last.
	At time.Time `json:"at"`
}

func newLedger() *Ledger { return &Ledger{runs: map[string]Run{}} }

func (self *Ledger) note(call, key string, now time.Time) {
	self.mu.Lock()
	defer self.mu.Unlock()
	run := self.runs[call]
	run.Times++
	run.Key = key
	run.At = now
	self.runs[call] = run
	self.last = now
}

// Runs returns a copy of the record, by call id.
func (self *Ledger) Runs() map[string]Run {
	self.mu.Lock()
	defer self.mu.Unlock()
	out := make(map[string]Run, len(self.runs))
	for id, run := range self.runs {
		out[id] = run
	}
	return out
}

// Last returns when the newest call began.
func (self *Ledger) Last() time.Time {
	self.mu.Lock()
	defer self.mu.Unlock()
	return self.last
}
