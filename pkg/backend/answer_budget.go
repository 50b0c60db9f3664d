package backend

import (
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

const (
	// minAnswerRoom is how many bytes the budget must have left for a request to be sent.
	minAnswerRoom = 64 << 10
	// firstBufferBytes is the size of the first buffer of a body. It doubles as the body grows,
	// whatever length the head states.
	firstBufferBytes = 4 << 10
)

// errAnswersFull closes a connection whose response body does not fit the budget any more.
var errAnswersFull = errors.New("the response does not fit in limits.answers_bytes beside the others")

// AnswerBudget limits the bytes of response bodies that one process holds at a time, while they
// arrive and until Reply.Release. It is safe for concurrent use.
type AnswerBudget struct {
	limit int64
	held  atomic.Int64
	cut   *metrics.Counter
}

// NewAnswerBudget returns a budget of limit bytes and registers its metrics in set.
func NewAnswerBudget(limit int, set *metrics.Set) *AnswerBudget {
	b := &AnswerBudget{limit: int64(limit), cut: set.GetOrCreateCounter("rushramp_answers_cut_total")}
	set.GetOrCreateGauge("rushramp_answers_bytes", func() float64 { return float64(b.held.Load()) })
	return b
}

// hasRoom reports whether a request may be sent: there is room for an answer of usual size.
func (b *AnswerBudget) hasRoom() bool { return b.limit-b.held.Load() >= min(minAnswerRoom, b.limit) }

// reserve takes n bytes. If they would exceed the limit it takes none and returns false.
func (b *AnswerBudget) reserve(n int64) bool {
	if b.held.Add(n) <= b.limit {
		return true
	}
	b.held.Add(-n)
	return false
}

// heldBody is a response body in memory that counts against a budget until it is released.
type heldBody struct {
	budget *AnswerBudget
	data   []byte
	// reserved is the capacity of data.
	reserved int64
}

// release returns the bytes of the body to the budget. Further calls do nothing.
func (h *heldBody) release() {
	h.budget.held.Add(-h.reserved)
	h.reserved = 0
}

// readBody reads a body of up to maxSize bytes to its end. length is the length that its head
// states, -1 for none. It holds nothing of a body that it returns an error for.
func (b *AnswerBudget) readBody(r io.Reader, length, maxSize int64) (*heldBody, error) {
	out := &heldBody{budget: b}
	// A byte more than allowed tells a body that is too large from one of the maximum size.
	largest := maxSize + 1
	if length >= 0 {
		largest = min(largest, length)
	}
	for {
		err := out.fill(r, largest)
		switch {
		case int64(len(out.data)) > maxSize:
			err = errBodyTooLarge
		case err == io.EOF:
			return out, nil
		case err == nil && int64(len(out.data)) == length:
			return out, nil
		}
		if err != nil {
			out.release()
			return nil, err
		}
	}
}

// fill reads once from r, into a larger buffer if the present one is full.
func (h *heldBody) fill(r io.Reader, largest int64) error {
	if len(h.data) == cap(h.data) {
		if err := h.grow(min(max(2*h.reserved, firstBufferBytes), largest)); err != nil {
			return err
		}
	}
	n, err := r.Read(h.data[len(h.data):cap(h.data)])
	h.data = h.data[:len(h.data)+n]
	return err
}

// grow moves the body to a buffer of size bytes. Both buffers count until then.
func (h *heldBody) grow(size int64) error {
	if !h.budget.reserve(size) {
		h.budget.cut.Inc()
		return errAnswersFull
	}
	larger := make([]byte, len(h.data), size)
	copy(larger, h.data)
	h.data = larger
	h.release()
	h.reserved = size
	return nil
}
