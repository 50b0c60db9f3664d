package ingress

import (
	"net"
	"time"

	"github.com/rushramp/rushramp/pkg/connections"
)

const (
	// writePieceBytes is the largest number of bytes that are written at a time.
	writePieceBytes = 64 << 10
	// writeStallTimeout is how long a caller may take for a piece of an answer.
	writeStallTimeout = time.Minute
	// ordinaryAnswerBytes is the size up to which a single answer is part of what any
	// connection takes up.
	ordinaryAnswerBytes = 16 << 10
)

// answerWriter writes answers to a caller's connection. A write fails when the caller
// does not take a piece of it within writeStallTimeout.
type answerWriter struct {
	net.Conn
	// entry is the connection's entry in the table of the listener, or nil.
	entry *connections.Entry
}

// Write implements net.Conn.
func (w *answerWriter) Write(p []byte) (n int, err error) {
	return w.write(p, nil)
}

// writeParts writes a head and a body, and the first bytes of both at once.
func (w *answerWriter) writeParts(head, body []byte) error {
	first := min(len(body), writePieceBytes)
	_, err := w.write(body[first:], net.Buffers{head, body[:first]})
	return err
}

// write writes the buffers of first, and then rest in pieces. It returns the number of bytes
// of rest that were written.
func (w *answerWriter) write(rest []byte, first net.Buffers) (n int, err error) {
	w.entry.BeginWrite()
	defer w.entry.EndWrite()
	if first != nil {
		if err := w.startPiece(); err != nil {
			return 0, err
		}
		if _, err := first.WriteTo(w.Conn); err != nil {
			return 0, err
		}
	}
	for n < len(rest) {
		if err := w.startPiece(); err != nil {
			return n, err
		}
		written, err := w.Conn.Write(rest[n:min(n+writePieceBytes, len(rest))])
		n += written
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (w *answerWriter) startPiece() error {
	w.entry.WriteProgress()
	return w.SetWriteDeadline(time.Now().Add(writeStallTimeout))
}
