package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// turn is the place of a request's answer among those of its connection.
type turn struct {
	// answer is nil until it is there.
	answer *answer
	// size is what the request and its answer hold in memory, in bytes.
	size int
	// closes is true when the caller wants no further answer on the connection.
	closes bool
}

// turns is the answering half of a caller's connection: requests that run side
// by side, and the order in which their answers go out.
type turns struct {
	conn   net.Conn
	bounds PipelineLimits
	// closing is true when answers should end the connection.
	closing func() bool

	mu      sync.Mutex
	changed *sync.Cond
	queue   []*turn
	held    int
	writing bool
	// read is true while a request was read and has no place in the queue: it
	// waits, or the standard server writes its answer.
	read bool
	// noMore is true once no further request is read, over once nothing more
	// may be written or started.
	noMore bool
	over   bool
	// last is when the last request was answered.
	last time.Time
}

func newTurns(c net.Conn, bounds PipelineLimits, closing func() bool) *turns {
	out := &turns{conn: c, bounds: bounds, closing: closing}
	out.changed = sync.NewCond(&out.mu)
	return out
}

// unanswered counts the requests that run beside the one that is read.
func (t *turns) unanswered() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queue)
}

// enter waits until a request may start, or its caller has left. One that runs
// beside others waits for room, any other until all before it are answered. ok
// is false when an answer has closed the connection: the request then counts
// as not read.
func (t *turns) enter(ctx context.Context, beside bool, size int) (waited, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.read = true
	for !t.over && ctx.Err() == nil && !t.mayStart(beside, size) {
		waited = true
		t.changed.Wait()
	}
	return waited, !t.over
}

func (t *turns) mayStart(beside bool, size int) bool {
	if len(t.queue) == 0 && !t.writing {
		return true
	}
	return beside && len(t.queue) < t.bounds.MaxRequests && t.held+size <= t.bounds.MaxBytes
}

// add gives a request its place; nil when the connection has ended.
func (t *turns) add(size int, closes bool) *turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return nil
	}
	t.read = false
	out := &turn{size: size, closes: closes}
	t.queue = append(t.queue, out)
	t.held += size
	return out
}

// finish takes a request's answer and writes all that are due. It returns true
// when none is left, and an error when the caller takes no more.
func (t *turns) finish(of *turn, a *answer) (empty bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of.answer = a
	of.size += len(a.body)
	t.held += len(a.body)
	if t.writing {
		return false, nil
	}
	t.writing = true
	for err == nil && len(t.queue) > 0 && t.queue[0].answer != nil && !t.over {
		err = t.writeFirst()
	}
	t.writing = false
	t.changed.Broadcast()
	return len(t.queue) == 0, err
}

// writeFirst writes the answer that is due. That the connection closes is said
// on the last answer of those started only.
func (t *turns) writeFirst() error {
	first := t.queue[0]
	last := len(t.queue) == 1 && !t.read
	closes := first.closes || last && (t.noMore || t.closing())
	t.over = closes
	t.mu.Unlock()
	err := first.answer.write(t.conn, closes)
	t.mu.Lock()
	t.queue = t.queue[1:]
	t.held -= first.size
	t.last = time.Now()
	t.changed.Broadcast()
	return err
}

// write writes for the standard server, once all answers before are out.
func (t *turns) write(p []byte) (int, error) {
	t.mu.Lock()
	for !t.over && (len(t.queue) > 0 || t.writing) {
		t.changed.Wait()
	}
	over := t.over
	t.mu.Unlock()
	if over {
		return 0, net.ErrClosed
	}
	return t.conn.Write(p)
}

// answered notes that the standard server has answered a request.
func (t *turns) answered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.read = false
	t.last = time.Now()
}

// endReading notes that no further request is read; it returns true when none
// is unanswered.
func (t *turns) endReading() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noMore = true
	return len(t.queue) == 0 && !t.writing
}

// isOver is true when the connection ends after the answers that went out. Another
// request may have been placed since the last of them, and its answer is still to come.
func (t *turns) isOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.over || t.noMore && len(t.queue) == 0 && !t.writing
}

// end lets nothing more start or go out.
func (t *turns) end() (unanswered int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	t.changed.Broadcast()
	return len(t.queue)
}

// wake lets waiting requests look again.
func (t *turns) wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed.Broadcast()
}

// lastAnswer is when the last request was answered; ok is false while there
// are unanswered ones.
func (t *turns) lastAnswer() (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, len(t.queue) == 0 && !t.writing
}
