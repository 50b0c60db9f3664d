package ingress

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/connections"
)

// maxReadBytes is the largest number of bytes that one read of the read-ahead goroutine
// returns. It is the size of the buffer that http.Server reads heads with.
const maxReadBytes = 4096

// chunkOverheadBytes is the memory that a chunk takes up besides its data: its entry in
// the list and the overhead of the allocation. Without it, 256 KB that arrive one byte at
// a time would take up 16 MB.
const chunkOverheadBytes = 64

// chunk is the data of one read and the time of that read.
type chunk struct {
	data      []byte
	arrivedAt time.Time
}

// connReader is the receiving half of a caller's connection. http.Server reads heads and
// bodies from it. Once bytes have arrived behind a request that is not answered yet, a
// goroutine of the connReader reads ahead, so that it notices that the caller disconnects
// while http.Server does not read.
//
// A Read that returns the end of a head returns no bytes behind it. Thus the bytes behind a
// request without a body stay in the connReader, which knows of them. The end of a head that
// the connReader finds is only a hint: http.Server alone decides where a request ends, and a
// wrong hint changes only whether a request is detached.
type connReader struct {
	conn net.Conn
	// maxBufferedBytes limits bufferedBytes.
	maxBufferedBytes int
	// onDisconnect is called once when no more bytes can arrive.
	onDisconnect func()
	// entry is the connection's entry in the table of the listener, or nil.
	entry *connections.Entry

	// mu guards the fields below. Methods that do not lock it are called with it held.
	mu      sync.Mutex
	changed *sync.Cond
	// chunks holds the bytes that were read ahead, bufferedBytes the memory that they
	// take up.
	chunks        []chunk
	bufferedBytes int
	// arrivedAt is when the bytes arrived that http.Server read last.
	arrivedAt time.Time
	headEnd   headEndFinder
	inHead    bool
	// maxHeldBytes limits the buffered bytes of an incomplete head; 0: heads are not held
	// back. headReleased is true once the buffered bytes contain the end of the head or
	// exceed this limit.
	maxHeldBytes int
	headReleased bool
	// scannedBytes are the first buffered bytes, in which scan has found no end of the head.
	scannedBytes int
	scan         headEndFinder
	// chargedBytes are the buffered bytes that count in entry. noRoom is true once buffered
	// bytes of a head exceed the memory for callers.
	chargedBytes int
	noRoom       bool
	// headBytes are the bytes by which the parsed head counts in entry. headRefused is true
	// when it does not count because it exceeds the memory for callers.
	headBytes   int
	headRefused bool
	// bytesAfterHead counts the bytes that http.Server has read since the end of the
	// head.
	bytesAfterHead int64
	// readingDirectly is true while a Read waits for the connection itself.
	// readAheadWanted is true once startReadAhead has been called, readAheadRunning once
	// readAheadLoop has started. If a Read is waiting for the connection, the loop starts
	// when that Read ends.
	readingDirectly  bool
	readAheadWanted  bool
	readAheadRunning bool
	// watching is true while a request waits to start or runs. moreBytes gets a value
	// when bytes arrive behind that request.
	watching  bool
	moreBytes chan struct{}
	// err is the error that ended the connection.
	err error
	// stopped is true once Read returns no more bytes.
	stopped bool
	// unreadBytes counts the bytes that arrived and that no Read has returned.
	unreadBytes   int
	deadline      time.Time
	deadlineTimer *time.Timer
}

func newConnReader(c net.Conn, maxBufferedBytes int, onDisconnect func()) *connReader {
	out := &connReader{conn: c, maxBufferedBytes: maxBufferedBytes, onDisconnect: onDisconnect, inHead: true, moreBytes: make(chan struct{}, 1)}
	out.changed = sync.NewCond(&out.mu)
	return out
}

// Read implements io.Reader for http.Server.
func (r *connReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		switch {
		case r.stopped:
			return 0, io.EOF
		case r.mayReturnBuffered():
			return r.readBuffered(p), nil
		case r.noRoom:
			return 0, errNoRoomForHead
		case r.err != nil:
			return 0, r.err
		case !r.readAheadRunning:
			if n, err := r.readDirectly(p); n > 0 || err != nil {
				return n, err
			}
			continue
		case r.deadlineExceeded():
			if r.releaseHead() {
				continue
			}
			return 0, os.ErrDeadlineExceeded
		}
		r.changed.Wait()
	}
}

// readBuffered returns bytes that were read ahead.
func (r *connReader) readBuffered(p []byte) int {
	first := &r.chunks[0]
	n := r.bytesUpToHeadEnd(p[:copy(p, r.returnable(first.data))])
	r.arrivedAt = first.arrivedAt
	first.data = first.data[n:]
	r.scannedBytes = max(r.scannedBytes-n, 0)
	r.bufferedBytes -= n
	if len(first.data) == 0 {
		r.chunks = r.chunks[1:]
		r.bufferedBytes -= chunkOverheadBytes
	}
	r.chargeBuffered()
	r.changed.Broadcast()
	return n
}

// readDirectly reads from the connection while readAheadLoop does not run. It releases
// the lock during the read, and buffers the bytes that arrive behind the end of a head.
func (r *connReader) readDirectly(p []byte) (int, error) {
	r.readingDirectly = true
	r.mu.Unlock()
	n, err := r.conn.Read(p)
	r.mu.Lock()
	r.readingDirectly = false
	if err != nil && !isTimeout(err) {
		r.fail(err)
	}
	if r.readAheadWanted {
		r.startReadAhead()
	}
	if r.stopped {
		r.unreadBytes += n
		return 0, io.EOF
	}
	if n == 0 && r.releaseHead() {
		return 0, nil
	}
	if n == 0 {
		return 0, err
	}
	r.arrivedAt = time.Now()
	r.recordArrival(n)
	returned := r.bytesToReturn(p[:n])
	if returned < n {
		r.buffer(p[returned:n])
	}
	if r.watching {
		r.signalMoreBytes()
	}
	return returned, nil
}

// recordArrival records that bytes have arrived, for the table of connections. The first bytes of a
// head are progress of a connection that was idle.
func (r *connReader) recordArrival(bytes int) {
	if r.inHead && r.headEnd == (headEndFinder{}) {
		r.entry.Progress()
		return
	}
	r.entry.Received(bytes)
}

// bytesUpToHeadEnd returns how many bytes of p a Read returns: those up to the end of the
// head if the head ends in p, all of them otherwise.
func (r *connReader) bytesUpToHeadEnd(p []byte) int {
	if !r.inHead {
		r.bytesAfterHead += int64(len(p))
		return len(p)
	}
	if end := r.headEnd.find(p); end > 0 {
		r.inHead = false
		r.chargeHead()
		return end
	}
	return len(p)
}

// buffer adds a copy of p to the buffered bytes.
func (r *connReader) buffer(p []byte) {
	defer r.chargeBuffered()
	if last := len(r.chunks) - 1; last >= 0 && r.holdsHeads() && r.headEnd.lines > 0 {
		// Many small pieces of one head do not take up a chunk each.
		r.chunks[last].data = append(r.chunks[last].data, p...)
		r.chunks[last].arrivedAt = time.Now()
		r.bufferedBytes += len(p)
		return
	}
	r.chunks = append(r.chunks, chunk{data: append([]byte(nil), p...), arrivedAt: time.Now()})
	r.bufferedBytes += len(p) + chunkOverheadBytes
}

// chargeBuffered makes the buffered bytes count in entry.
func (r *connReader) chargeBuffered() {
	more := r.bufferedBytes - r.chargedBytes
	if more > 0 && !r.entry.Grow(more) {
		r.noRoom = r.holdsHeads()
		return
	}
	r.entry.Shrink(-more)
	r.chargedBytes = r.bufferedBytes
}

// watch is called when http.Server has read a request whose body has bodyLength bytes.
// From then on, moreBytes gets a value when bytes arrive behind that request. A body of unknown length (below 0)
// counts as followed by more bytes, because http.Server may have read them together with
// the last piece of the body.
func (r *connReader) watch(bodyLength int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inHead, r.watching = false, true
	select {
	case <-r.moreBytes:
	default:
	}
	if len(r.chunks) > 0 || bodyLength < 0 || r.bytesAfterHead > bodyLength {
		r.signalMoreBytes()
	}
}

// unwatch is called when the answer to the request is about to be written. Bytes that
// arrive later may belong to a caller that sends its next request after each answer.
func (r *connReader) unwatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watching = false
}

// isReadAhead reports whether bytes have arrived behind an unanswered request of this
// connection, so that it is read ahead.
func (r *connReader) isReadAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAheadWanted
}

// lastArrival returns when the bytes arrived that http.Server read last.
func (r *connReader) lastArrival() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivedAt
}

// expectHead is called when http.Server starts to wait for the next head.
func (r *connReader) expectHead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watching, r.inHead, r.headEnd, r.bytesAfterHead = false, true, headEndFinder{}, 0
	r.headReleased, r.scannedBytes = false, 0
	r.entry.Shrink(r.headBytes)
	r.headBytes, r.headRefused = 0, false
}

// stop makes Read return io.EOF from now on, and discards the buffered bytes.
func (r *connReader) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.stopped = true
	if !r.holdsHeads() {
		r.unreadBytes += r.bufferedBytes - chunkOverheadBytes*len(r.chunks)
	}
	r.chunks, r.bufferedBytes = nil, 0
	r.chargeBuffered()
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	if r.readingDirectly {
		_ = r.conn.SetReadDeadline(pastDeadline)
	}
	r.changed.Broadcast()
}

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// status reports whether the caller has disconnected, and the number of bytes that
// arrived and that no Read has returned.
func (r *connReader) status() (disconnected bool, unreadBytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err != nil, r.unreadBytes
}

// SetReadDeadline sets the deadline of Read. The reads of readAheadLoop have none.
func (r *connReader) SetReadDeadline(t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = t
	if r.stopped {
		return nil
	}
	if !r.readAheadRunning {
		return r.conn.SetReadDeadline(t)
	}
	r.resetDeadlineTimer()
	return nil
}

// resetDeadlineTimer makes a Read that waits for readAheadLoop return at the deadline.
func (r *connReader) resetDeadlineTimer() {
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	r.deadlineTimer = nil
	if !r.deadline.IsZero() {
		r.deadlineTimer = time.AfterFunc(time.Until(r.deadline), r.wake)
	}
	r.changed.Broadcast()
}

// wake makes all goroutines that wait for a change check their conditions again.
func (r *connReader) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed.Broadcast()
}

func (r *connReader) deadlineExceeded() bool {
	return !r.deadline.IsZero() && !time.Now().Before(r.deadline)
}

// isTimeout reports whether err is a timeout. Connections do not wrap their errors, so
// that it does without errors.As, which takes up much processor time.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
