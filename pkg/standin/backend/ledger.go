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

func (l *Ledger) note(call, key string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.runs[call]
	run.Times++
	run.Key = key
	run.At = now
	l.runs[call] = run
	l.last = now
}

// Runs returns a copy of the record, by call id.
func (l *Ledger) Runs() map[string]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Run, len(l.runs))
	for id, run := range l.runs {
		out[id] = run
	}
	return out
}

// Last returns when the newest call began.
func (l *Ledger) Last() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}
