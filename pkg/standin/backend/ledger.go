package backend

import (
	"sync"
	"time"
)

// Ledger records the calls that a backend server began to run. It is safe for
// concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]Run
	last time.Time
}

// Run is the ledger's entry for one call id.
type Run struct {
	// Times counts how often the call began to run.
	Times int `json:"times"`
	// Key is the call's Idempotency-Key; empty when it has none.
	Key string `json:"key"`
	// At is the time of the last start.
	At time.Time `json:"at"`
}

func newLedger() *Ledger { return &Ledger{runs: map[string]Run{}} }

func (l *Ledger) record(call, key string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.runs[call]
	run.Times++
	run.Key = key
	run.At = now
	l.runs[call] = run
	l.last = now
}

// Runs returns a copy of the ledger, by call id.
func (l *Ledger) Runs() map[string]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Run, len(l.runs))
	for id, run := range l.runs {
		out[id] = run
	}
	return out
}

// Last returns when the most recent call began; zero when none did.
func (l *Ledger) Last() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}
