package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// queuedAnswer is the place of a detached request's answer in the queue of its
// connection.
type queuedAnswer struct {
	// answer is nil until the request has ended.
	answer *bufferedAnswer
	// size is the memory that the request and its answer take up, in bytes.
	size int
	// closeConn is true when the caller asked for the connection to close after this
	// answer.
	closeConn bool
}

// answerQueue is the sending half of a caller's connection. It limits the requests that
// run concurrently, and writes their answers in the order of the requests.
type answerQueue struct {
	conn   net.Conn
	limits PipelineLimits
	// closeAfterAnswer reports whether answers should close the connection.
	closeAfterAnswer func() bool

	mu      sync.Mutex
	changed *sync.Cond
	// queue holds the detached requests whose answers are not written, heldBytes the
	// sum of their sizes.
	queue     []*queuedAnswer
	heldBytes int
	// writing is true while an answer of the queue is written.
	writing bool
	// pending is true while a request that was read is not in the queue: it waits to
	// start, or http.Server writes its answer.
	pending bool
	// readingEnded is true once no further request is read. closed is true once no
	// further answer may be written and no further request may start.
	readingEnded bool
	closed       bool
	// lastAnsweredAt is when the last request was answered.
	lastAnsweredAt time.Time
}

func newAnswerQueue(c net.Conn, limits PipelineLimits, closeAfterAnswer func() bool) *answerQueue {
	out := &answerQueue{conn: c, limits: limits, closeAfterAnswer: closeAfterAnswer}
	out.changed = sync.NewCond(&out.mu)
	return out
}

// unanswered returns the number of requests in the queue.
func (q *answerQueue) unanswered() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue)
}

// waitToStart waits until a request may start or ctx ends. A concurrent request waits
// until the limits allow it, any other one until all earlier requests are answered. ok
// is false when the connection has closed after an earlier answer: the request then
// counts as not read.
func (q *answerQueue) waitToStart(ctx context.Context, concurrent bool, size int) (waited, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = true
	for !q.closed && ctx.Err() == nil && !q.mayStart(concurrent, size) {
		waited = true
		q.changed.Wait()
	}
	return waited, !q.closed
}

func (q *answerQueue) mayStart(concurrent bool, size int) bool {
	if len(q.queue) == 0 && !q.writing {
		return true
	}
	return concurrent && len(q.queue) < q.limits.MaxRequests && q.heldBytes+size <= q.limits.MaxBytes
}

// add puts a request at the end of the queue. It returns nil when the connection has
// closed.
func (q *answerQueue) add(size int, closeConn bool) *queuedAnswer {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil
	}
	q.pending = false
	out := &queuedAnswer{size: size, closeConn: closeConn}
	q.queue = append(q.queue, out)
	q.heldBytes += size
	return out
}

// deliver sets the answer of a queued request, and writes all answers that no unanswered
// request precedes, unless another goroutine is writing them. It reports whether the
// queue is empty, and returns an error when an answer cannot be written.
func (q *answerQueue) deliver(queued *queuedAnswer, a *bufferedAnswer) (empty bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queued.answer = a
	queued.size += len(a.body)
	q.heldBytes += len(a.body)
	if q.writing {
		return false, nil
	}
	q.writing = true
	for err == nil && len(q.queue) > 0 && q.queue[0].answer != nil && !q.closed {
		err = q.writeFirst()
	}
	q.writing = false
	q.changed.Broadcast()
	return len(q.queue) == 0, err
}

// writeFirst writes the first answer of the queue. It releases the lock meanwhile. When
// the connection should close, only the last answer says so, unless the caller asked for
// the close.
func (q *answerQueue) writeFirst() error {
	first := q.queue[0]
	isLast := len(q.queue) == 1 && !q.pending
	closeConn := first.closeConn || isLast && (q.readingEnded || q.closeAfterAnswer())
	q.closed = closeConn
	q.mu.Unlock()
	err := first.answer.writeTo(q.conn, closeConn)
	q.mu.Lock()
	q.queue = q.queue[1:]
	q.heldBytes -= first.size
	if first.answer.release != nil {
		first.answer.release()
	}
	q.lastAnsweredAt = time.Now()
	q.changed.Broadcast()
	return err
}

// write writes bytes of http.Server, after all queued answers.
func (q *answerQueue) write(p []byte) (int, error) {
	q.mu.Lock()
	for !q.closed && (len(q.queue) > 0 || q.writing) {
		q.changed.Wait()
	}
	closed := q.closed
	q.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	return q.conn.Write(p)
}

// answeredDirectly is called when http.Server has answered a request.
func (q *answerQueue) answeredDirectly() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = false
	q.lastAnsweredAt = time.Now()
}

// closeIfIdle prevents further requests from starting, unless one waits to start, runs or is
// being answered. It reports whether it has done so.
func (q *answerQueue) closeIfIdle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.hasRequest() {
		return false
	}
	q.closed = true
	return true
}

// hasRequest reports whether a request waits to start, runs or is being answered. The caller holds
// mu.
func (q *answerQueue) hasRequest() bool { return len(q.queue) > 0 || q.writing || q.pending }

// isIdle reports whether no request waits to start, runs or is being answered.
func (q *answerQueue) isIdle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.hasRequest()
}

// endReading is called when no further request is read. It reports whether all queued
// answers are written.
func (q *answerQueue) endReading() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.readingEnded = true
	return len(q.queue) == 0 && !q.writing
}

// isFinished reports whether no further answer will be written on the connection: it has
// closed, or reading has ended and all queued answers are written.
func (q *answerQueue) isFinished() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed || q.readingEnded && len(q.queue) == 0 && !q.writing
}

// markClosed prevents further requests from starting and further answers from being written.
// It returns the number of requests in the queue.
func (q *answerQueue) markClosed() (unanswered int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.changed.Broadcast()
	return len(q.queue)
}

// wake makes all goroutines that wait for a change check their conditions again.
func (q *answerQueue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.changed.Broadcast()
}

// lastAnswer returns when the last request was answered. ok is false while there are
// queued requests.
func (q *answerQueue) lastAnswer() (at time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lastAnsweredAt, len(q.queue) == 0 && !q.writing
}
