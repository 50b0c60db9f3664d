package atmostonce

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/store"
)

const (
	// batchMost is how many writes go in one request.
	batchMost = 100
	// probeEvery is how often a store that failed is tried again. Writes that
	// come in between are refused at once.
	probeEvery = 250 * time.Millisecond
)

// errStoreDown refuses a write that was not sent at all.
var errStoreDown = errors.New("the platform's table service did not answer lately")

// writer sends the writes of one daemon. Those that meet go in one request:
// while one is on its way the next gathers, so a busy daemon makes few
// requests and an idle one waits for nobody.
type writer struct {
	*common.Common
	table   store.Table
	timeout time.Duration
	// outage logs when the table does not answer.
	outage *events.Outage

	mu      sync.Mutex
	waiting []*pendingWrite
	busy    bool
	// down is true after a failure; until downUntil nothing is sent.
	down      bool
	downUntil time.Time
}

func newWriter(c *common.Common, table store.Table, timeout time.Duration) *writer {
	return &writer{Common: c, table: table, timeout: timeout, outage: events.NewOutage(c.Log, "table service")}
}

type pendingWrite struct {
	write store.Write
	done  chan writeResult
}

// writeResult is how a write ended. sent is false when it surely had no effect.
type writeResult struct {
	result store.Result
	sent   bool
	err    error
}

// do sends one write and waits for its result, at most until the deadline.
func (w *writer) do(write store.Write, deadline time.Time) writeResult {
	p := &pendingWrite{write: write, done: make(chan writeResult, 1)}
	if !w.enqueue(p) {
		return writeResult{err: errStoreDown}
	}
	bound := time.NewTimer(min(time.Until(deadline), w.timeout))
	defer bound.Stop()
	select {
	case r := <-p.done:
		return r
	case <-bound.C:
		if w.withdraw(p) {
			return writeResult{err: context.DeadlineExceeded}
		}
		return writeResult{sent: true, err: context.DeadlineExceeded}
	}
}

// post sends one write that nobody waits for.
func (w *writer) post(write store.Write, done func(writeResult)) {
	p := &pendingWrite{write: write, done: make(chan writeResult, 1)}
	if !w.enqueue(p) {
		done(writeResult{err: errStoreDown})
		return
	}
	go func() { done(<-p.done) }()
}

func (w *writer) enqueue(p *pendingWrite) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down && time.Now().Before(w.downUntil) {
		return false
	}
	if w.down {
		// This write is the probe; others are refused until it has ended.
		w.downUntil = time.Now().Add(w.timeout)
	}
	w.waiting = append(w.waiting, p)
	if !w.busy {
		w.busy = true
		go w.run()
	}
	return true
}

func (w *writer) withdraw(p *pendingWrite) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.waiting {
		if other == p {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (w *writer) take() []*pendingWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.waiting), batchMost)
	if n == 0 {
		w.busy = false
		return nil
	}
	batch := w.waiting[:n:n]
	w.waiting = append([]*pendingWrite(nil), w.waiting[n:]...)
	return batch
}

func (w *writer) run() {
	for batch := w.take(); batch != nil; batch = w.take() {
		w.send(batch)
	}
}

func (w *writer) send(batch []*pendingWrite) {
	writes := make([]store.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	began := time.Now()
	results, err := w.table.Batch(ctx, writes)
	if !w.stoodStill(time.Since(began)) {
		w.note(err)
	}
	for i, p := range batch {
		out := writeResult{sent: true, err: err}
		if err == nil {
			out.result = results[i]
		}
		p.done <- out
	}
}

// timerSlack is by how much longer than its time-out a call must have taken for this
// process to have stood still meanwhile: timers of one that runs fire a few
// milliseconds late.
const timerSlack = 20 * time.Millisecond

// stoodStill is true where the process was paused during a call. That such a call
// has timed out says nothing of the table service, and the next one may be made.
func (w *writer) stoodStill(took time.Duration) bool {
	return took > w.timeout+timerSlack
}

func (w *writer) note(err error) {
	w.outage.Record(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = err != nil
	if err != nil {
		w.downUntil = time.Now().Add(probeEvery)
	}
}
