package events

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errBufferFull is returned for a line that does not fit into the buffer. The line is
// dropped.
var errBufferFull = errors.New("the log's buffer is full")

// buffer holds lines until they are written to out, which may block. It uses at most
// 2*max bytes: max for the waiting lines and max for those being written.
type buffer struct {
	out io.Writer
	max int

	mu      sync.Mutex
	waiting []byte
	// wake tells run that lines are waiting.
	wake chan struct{}
	// closing is closed by close; written is closed when all lines are written.
	closing chan struct{}
	written chan struct{}
	once    sync.Once
}

func newBuffer(out io.Writer, max int) *buffer {
	b := &buffer{
		out: out, max: max,
		wake: make(chan struct{}, 1), closing: make(chan struct{}), written: make(chan struct{}),
	}
	go b.run()
	return b
}

// important returns a writer that may fill the whole buffer.
func (b *buffer) important() io.Writer { return lineWriter{b, b.max} }

// routine returns a writer that leaves reservedShare of the buffer to important lines.
func (b *buffer) routine() io.Writer {
	return lineWriter{b, int((1 - reservedShare) * float64(b.max))}
}

// lineWriter adds lines to the buffer up to max bytes, one whole line per Write.
type lineWriter struct {
	buffer *buffer
	max    int
}

// Write implements io.Writer. It never blocks on the output.
func (l lineWriter) Write(line []byte) (int, error) {
	b := l.buffer
	b.mu.Lock()
	if len(b.waiting)+len(line) > l.max {
		b.mu.Unlock()
		return 0, errBufferFull
	}
	b.waiting = append(b.waiting, line...)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes waiting lines until the buffer is closed.
func (b *buffer) run() {
	defer close(b.written)
	var spare []byte
	for {
		select {
		case <-b.wake:
			spare = b.flush(spare)
		case <-b.closing:
			b.flush(spare)
			return
		}
	}
}

// flush writes the waiting lines. spare is the memory for the next lines; flush returns the
// memory of the written ones for reuse.
func (b *buffer) flush(spare []byte) []byte {
	b.mu.Lock()
	out := b.waiting
	b.waiting = spare[:0]
	b.mu.Unlock()
	if len(out) > 0 {
		// An error means that nothing reads the output any more, so there is nowhere to
		// report it.
		_, _ = b.out.Write(out)
	}
	return out
}

// close waits until all lines are written, at most for the timeout.
func (b *buffer) close(timeout time.Duration) {
	b.once.Do(func() { close(b.closing) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-b.written:
	case <-timer.C:
	}
}
