package ingress

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// readSize is what one read ahead takes at most, in bytes: the buffer that the
// standard server reads heads with.
const readSize = 4096

// chunkCost is what a piece that was read ahead holds besides its bytes: the row in
// the list and the allocation's own. Without it 256 KB that come one byte at a time
// would hold 16 MB.
const chunkCost = 64

// chunk is what one read brought, and when.
type chunk struct {
	data []byte
	at   time.Time
}

// inbound is the receiving half of a caller's connection. The standard server
// reads heads and bodies from it; what it adds is to read ahead once bytes have
// come behind a request that is not answered yet, so that the caller's leaving
// is noticed whoever reads.
//
// The server gets no more than one head from one Read. Thus bytes behind a
// request without a body stay here, where they are seen. Finding the end of a
// head is only a hint: where it errs, a request is answered in another way, and
// nothing is framed otherwise.
type inbound struct {
	conn net.Conn
	// most bounds the bytes read ahead.
	most int
	// left is told once that no more comes.
	left func()

	mu      sync.Mutex
	changed *sync.Cond
	chunks  []chunk
	// size is what the chunks hold in memory, in bytes.
	size int
	// arrived is when the bytes came that the server read last.
	arrived time.Time
	head    headEnd
	inHead  bool
	// afterHead counts the bytes that the server read since the end of a head.
	afterHead int64
	// direct is true while a Read waits on the connection itself, ahead once the
	// connection is to be read ahead, pumping once pump does so: where a Read
	// waits, when that ends.
	direct  bool
	ahead   bool
	pumping bool
	// watched is true while a request is held or runs; behind tells of bytes
	// that came meanwhile.
	watched bool
	behind  chan struct{}
	// err is how the connection ended.
	err error
	// stopped is true once the server gets no more bytes.
	stopped bool
	// unread counts the bytes that came and were never handed out.
	unread   int
	deadline time.Time
	timer    *time.Timer
}

func newInbound(c net.Conn, most int, left func()) *inbound {
	out := &inbound{conn: c, most: most, left: left, inHead: true, behind: make(chan struct{}, 1)}
	out.changed = sync.NewCond(&out.mu)
	return out
}

// Read hands bytes to the server.
func (in *inbound) Read(p []byte) (int, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for {
		switch {
		case in.stopped:
			return 0, io.EOF
		case len(in.chunks) > 0:
			return in.take(p), nil
		case in.err != nil:
			return 0, in.err
		case !in.pumping:
			return in.readDirect(p)
		case in.expired():
			return 0, os.ErrDeadlineExceeded
		}
		in.changed.Wait()
	}
}

// take hands out bytes that were read ahead.
func (in *inbound) take(p []byte) int {
	first := &in.chunks[0]
	n := in.upToHead(p[:copy(p, first.data)])
	in.arrived = first.at
	first.data = first.data[n:]
	in.size -= n
	if len(first.data) == 0 {
		in.chunks = in.chunks[1:]
		in.size -= chunkCost
	}
	in.changed.Broadcast()
	return n
}

// readDirect reads the connection for a server that waits for nothing else.
func (in *inbound) readDirect(p []byte) (int, error) {
	in.direct = true
	in.mu.Unlock()
	n, err := in.conn.Read(p)
	in.mu.Lock()
	in.direct = false
	if err != nil && !isTimeout(err) {
		in.fail(err)
	}
	if in.ahead {
		in.readAhead()
	}
	if in.stopped {
		in.unread += n
		return 0, io.EOF
	}
	if n == 0 {
		return 0, err
	}
	in.arrived = time.Now()
	given := in.upToHead(p[:n])
	if given < n {
		in.push(p[given:n])
	}
	if in.watched {
		in.noteBehind()
	}
	return given, nil
}

// upToHead returns how many of the bytes the server gets: those up to the end
// of the head, where one ends in them.
func (in *inbound) upToHead(p []byte) int {
	if !in.inHead {
		in.afterHead += int64(len(p))
		return len(p)
	}
	if end := in.head.find(p); end > 0 {
		in.inHead = false
		return end
	}
	return len(p)
}

func (in *inbound) push(p []byte) {
	in.chunks = append(in.chunks, chunk{data: append([]byte(nil), p...), at: time.Now()})
	in.size += len(p) + chunkCost
}

// watch begins to tell of bytes behind the request that the server has read,
// whose body has that length. Behind one of unknown length (below 0) there may be
// some: the server may have read them with the last piece of the body.
func (in *inbound) watch(body int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.inHead, in.watched = false, true
	select {
	case <-in.behind:
	default:
	}
	if len(in.chunks) > 0 || body < 0 || in.afterHead > body {
		in.noteBehind()
	}
}

// unwatch ends that: the answer is about to be written, and what comes from now
// on may be the next request of a caller that sends one at a time.
func (in *inbound) unwatch() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.watched = false
}

// isAhead is true once bytes have come behind an unanswered request of this
// connection.
func (in *inbound) isAhead() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ahead
}

func (in *inbound) lastArrival() time.Time {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.arrived
}

// next notes that the server now waits for the next head.
func (in *inbound) next() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.watched, in.inHead, in.head, in.afterHead = false, true, headEnd{}, 0
}

// stop ends the server's reading.
func (in *inbound) stop() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return
	}
	in.stopped = true
	in.unread += in.size - chunkCost*len(in.chunks)
	in.chunks, in.size = nil, 0
	if in.timer != nil {
		in.timer.Stop()
	}
	if in.direct {
		_ = in.conn.SetReadDeadline(longAgo)
	}
	in.changed.Broadcast()
}

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// ended tells whether the caller has left, and how many bytes were not read.
func (in *inbound) ended() (left bool, unread int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.err != nil, in.unread
}

// SetReadDeadline bounds the server's reads.
func (in *inbound) SetReadDeadline(t time.Time) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.deadline = t
	if in.stopped {
		return nil
	}
	if !in.pumping {
		return in.conn.SetReadDeadline(t)
	}
	in.setTimer()
	return nil
}

// setTimer wakes a Read at its deadline; pump's own reads have none.
func (in *inbound) setTimer() {
	if in.timer != nil {
		in.timer.Stop()
	}
	in.timer = nil
	if !in.deadline.IsZero() {
		in.timer = time.AfterFunc(time.Until(in.deadline), in.wake)
	}
	in.changed.Broadcast()
}

func (in *inbound) wake() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.changed.Broadcast()
}

func (in *inbound) expired() bool {
	return !in.deadline.IsZero() && !time.Now().Before(in.deadline)
}

// isTimeout looks at the error alone, which connections do not wrap: the search
// of errors.As was a tenth of the processor time in a profile of
// BenchmarkRepeatableOneAtATime.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
