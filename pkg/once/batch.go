package once

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/platform"
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
	table   platform.Table
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

func newWriter(c *common.Common, table platform.Table, timeout time.Duration) *writer {
	return &writer{Common: c, table: table, timeout: timeout, outage: events.NewOutage(c.Log, "table service")}
}

type pendingWrite struct {
	write platform.Write
	done  chan writeResult
}

// writeResult is how a write ended. sent is false when it surely had no effect.
type writeResult struct {
	result platform.Result
	sent   bool
	err    error
}

// do sends one write and waits for its result, at most until the deadline.
func (self *writer) do(write platform.Write, deadline time.Time) writeResult {
	p := &pendingWrite{write: write, done: make(chan writeResult, 1)}
	if !self.enqueue(p) {
		return writeResult{err: errStoreDown}
	}
	bound := time.NewTimer(min(time.Until(deadline), self.timeout))
	defer bound.Stop()
	select {
	case r := <-p.done:
		return r
	case <-bound.C:
		if self.withdraw(p) {
			return writeResult{err: context.DeadlineExceeded}
		}
		return writeResult{sent: true, err: context.DeadlineExceeded}
	}
}

// post sends one write that nobody waits for.
func (self *writer) post(write platform.Write, done func(writeResult)) {
	p := &pendingWrite{write: write, done: make(chan writeResult, 1)}
	if !self.enqueue(p) {
		done(writeResult{err: errStoreDown})
		return
	}
	go func() { done(<-p.done) }()
}

func (self *writer) enqueue(p *pendingWrite) bool {
	self.mu.Lock()
	defer self.mu.Unlock()
	if self.down && time.Now().Before(self.downUntil) {
		return false
	}
	if self.down {
		// This write is the probe; others are refused until it has ended.
		self.downUntil = time.Now().Add(self.timeout)
	}
	self.waiting = append(self.waiting, p)
	if !self.busy {
		self.busy = true
		go self.run()
	}
	return true
}

func (self *writer) withdraw(p *pendingWrite) bool {
	self.mu.Lock()
	defer self.mu.Unlock()
	for i, other := range self.waiting {
		if other == p {
			self.waiting = append(self.waiting[:i], self.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (self *writer) take() []*pendingWrite {
	self.mu.Lock()
	defer self.mu.Unlock()
	n := min(len(self.waiting), batchMost)
	if n == 0 {
		self.busy = false
		return nil
	}
	batch := self.waiting[:n:n]
	self.waiting = append([]*pendingWrite(nil), self.waiting[n:]...)
	return batch
}

func (self *writer) run() {
	for batch := self.take(); batch != nil; batch = self.take() {
		self.send(batch)
	}
}

func (self *writer) send(batch []*pendingWrite) {
	writes := make([]platform.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), self.timeout)
	defer cancel()
	results, err := self.table.Batch(ctx, writes)
	self.note(err)
	for i, p := range batch {
		out := writeResult{sent: true, err: err}
		if err == nil {
			out.result = results[i]
		}
		p.done <- out
	}
}

func (self *writer) note(err error) {
	self.outage.Note(err)
	self.mu.Lock()
	defer self.mu.Unlock()
	self.down = err != nil
	if err != nil {
		self.downUntil = time.Now().Add(probeEvery)
	}
}
