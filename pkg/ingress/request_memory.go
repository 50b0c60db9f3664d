package ingress

import (
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/connections"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// parsedLineBytes is the memory that a header line takes up once parsed, in the request of
// http.Server and in what is forwarded, besides the bytes of the line.
const parsedLineBytes = 256

// requestMemory is the memory that a request takes up: its body and its parsed head.
type requestMemory struct {
	*bodies.Reservation
	entry *connections.Entry
	// headBytes count in entry.
	headBytes atomic.Int64
}

// Release returns the memory when the request has ended. Further calls do nothing.
func (m *requestMemory) Release() {
	m.Reservation.Release()
	m.entry.Shrink(int(m.headBytes.Swap(0)))
}

// growBody reserves n more bytes for the body. Bodies of other callers that have stalled make
// room.
func (m *requestMemory) growBody(n int64) bool {
	return m.GrowOr(n, m.entry.EvictBody)
}

// makeRoomForBody reports whether a body of an announced length, or of an unknown one (-1), fits
// the budget now. Bodies of other callers that have stalled make room.
func (m *requestMemory) makeRoomForBody(length int64) bool {
	for !m.HasRoom(length) {
		if !m.entry.EvictBody() {
			return false
		}
	}
	return true
}

// newRequestMemory returns the memory of a request whose head has been read on c, which may be
// nil. ok is false when the head exceeds the memory for callers.
func (s *Server) newRequestMemory(c *pipelinedConn) (memory *requestMemory, ok bool) {
	memory = &requestMemory{Reservation: s.Bodies.NewReservation()}
	if c == nil {
		return memory, true
	}
	memory.entry = c.options.entry
	bytes, ok := c.reader.takeHead()
	memory.headBytes.Store(int64(bytes))
	return memory, ok
}

// chargeHead makes a head that is complete count in entry, unless it is ordinary.
func (r *connReader) chargeHead() {
	bytes := r.headEnd.lines * parsedLineBytes
	switch {
	case r.headEnd.lines <= ordinaryHeadLines:
	case r.entry.Grow(bytes):
		r.headBytes += bytes
	default:
		r.headRefused = true
	}
}

// takeHead returns the bytes by which the head of the current request counts in entry. The
// caller shrinks the entry by them. ok is false when the head exceeds the memory for callers.
func (r *connReader) takeHead() (bytes int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bytes, r.headBytes = r.headBytes, 0
	return bytes, !r.headRefused
}

// holdAnswer makes an answer of more than uncounted bytes count as memory of the connection until
// release is called. Where it exceeds the memory for callers, a refusal replaces it.
func (c *pipelinedConn) holdAnswer(result *call.Result, uncounted int) (release func()) {
	if result.Refusal != nil || len(result.Answer.Body) <= uncounted {
		return func() {}
	}
	bytes, entry := len(result.Answer.Body), c.options.entry
	if !entry.GrowAtOnce(bytes) {
		*result = call.Result{Refusal: errkind.New(errkind.AnswerCut, "the memory for callers' connections has no room for an answer of %d bytes", bytes)}
		return func() {}
	}
	return func() { entry.Shrink(bytes) }
}
