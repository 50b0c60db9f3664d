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
	// maxBatchWrites is the maximum number of writes in one request.
	maxBatchWrites = 100
	// probeInterval is the time after a failed request in which writes are refused without
	// sending them.
	probeInterval = 250 * time.Millisecond
)

// errStoreDown is returned for a write that was not sent because the last request failed.
var errStoreDown = errors.New("not sent: the last request to the platform's table service failed")

// writer sends the writes of one daemon to the table service in batches, one at a time.
// Writes that arrive during a request go into the next batch; an idle writer sends a write
// at once.
type writer struct {
	*common.Common
	table   store.Table
	timeout time.Duration
	// outage logs when the table service stops and resumes answering.
	outage *events.Outage

	mu    sync.Mutex
	queue []*pendingWrite
	// sending is true while run sends batches.
	sending bool
	// down is true after a failed request: writes are refused until downUntil, and the
	// next one probes the table service.
	down      bool
	downUntil time.Time
}

func newWriter(c *common.Common, table store.Table, timeout time.Duration) *writer {
	return &writer{Common: c, table: table, timeout: timeout, outage: events.NewOutage(c.Log, "table service")}
}

// pendingWrite is a queued write. done is buffered, so that sending the result never
// blocks.
type pendingWrite struct {
	write store.Write
	done  chan writeResult
}

// writeResult is the outcome of a write. If err is not nil and sent is true, it is unknown
// whether the write took effect; if sent is false, it did not.
type writeResult struct {
	result store.Result
	sent   bool
	err    error
}

// writeAndWait sends a write and waits for its result until the deadline or for the
// timeout, whichever ends first.
func (w *writer) writeAndWait(write store.Write, deadline time.Time) writeResult {
	p := &pendingWrite{write: write, done: make(chan writeResult, 1)}
	if !w.enqueue(p) {
		return writeResult{err: errStoreDown}
	}
	timer := time.NewTimer(min(time.Until(deadline), w.timeout))
	defer timer.Stop()
	select {
	case r := <-p.done:
		return r
	case <-timer.C:
		if w.withdraw(p) {
			return writeResult{err: context.DeadlineExceeded}
		}
		return writeResult{sent: true, err: context.DeadlineExceeded}
	}
}

// writeAsync sends a write and returns at once; done is called with the result.
func (w *writer) writeAsync(write store.Write, done func(writeResult)) {
	p := &pendingWrite{write: write, done: make(chan writeResult, 1)}
	if !w.enqueue(p) {
		done(writeResult{err: errStoreDown})
		return
	}
	go func() { done(<-p.done) }()
}

// enqueue adds a write to the queue. It returns false if the write is refused because the
// table service is down.
func (w *writer) enqueue(p *pendingWrite) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down && time.Now().Before(w.downUntil) {
		return false
	}
	if w.down {
		// This write probes whether the table service answers again. Others are refused
		// until its request has ended.
		w.downUntil = time.Now().Add(w.timeout)
	}
	w.queue = append(w.queue, p)
	if !w.sending {
		w.sending = true
		go w.run()
	}
	return true
}

// withdraw removes a write from the queue. It returns false if the write was sent.
func (w *writer) withdraw(p *pendingWrite) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.queue {
		if other == p {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return true
		}
	}
	return false
}

// nextBatch removes the next batch from the queue. If the queue is empty, it returns nil
// and run must end.
func (w *writer) nextBatch() []*pendingWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), maxBatchWrites)
	if n == 0 {
		w.sending = false
		return nil
	}
	batch := w.queue[:n:n]
	w.queue = append([]*pendingWrite(nil), w.queue[n:]...)
	return batch
}

// run sends batches until the queue is empty.
func (w *writer) run() {
	for batch := w.nextBatch(); batch != nil; batch = w.nextBatch() {
		w.send(batch)
	}
}

// send sends a batch and passes each write its result.
func (w *writer) send(batch []*pendingWrite) {
	writes := make([]store.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	startedAt := time.Now()
	results, err := w.table.Batch(ctx, writes)
	if !w.wasPaused(time.Since(startedAt)) {
		w.recordResult(err)
	}
	for i, p := range batch {
		out := writeResult{sent: true, err: err}
		if err == nil {
			out.result = results[i]
		}
		p.done <- out
	}
}

// timerSlack is the delay with which timers of a running process may fire. A request that
// takes longer than its timeout and this delay shows that the process was paused.
const timerSlack = 20 * time.Millisecond

// wasPaused reports whether the process was paused during a request of this duration. The
// timeout of such a request does not show that the table service is down.
func (w *writer) wasPaused(duration time.Duration) bool {
	return duration > w.timeout+timerSlack
}

// recordResult records whether the table service is down. err is that of a request, or nil.
func (w *writer) recordResult(err error) {
	w.outage.Record(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = err != nil
	if err != nil {
		w.downUntil = time.Now().Add(probeInterval)
	}
}
