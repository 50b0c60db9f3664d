package ingress

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestAnswerThatNobodyReadsEnds guards against callers that read nothing and hold their answers
// for ever. One that reads slowly gets the whole answer.
func TestAnswerThatNobodyReadsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, server := net.Pipe()
		defer caller.Close()
		w := &answerWriter{Conn: server}
		body := bytes.Repeat([]byte("b"), 3*writePieceBytes+1)
		start := time.Now()
		written := make(chan error, 1)
		go func() { written <- w.writeParts([]byte("head"), body) }()
		got := make([]byte, len("head")+len(body))
		for n := 0; n < len(got); {
			time.Sleep(writeStallTimeout / 4)
			more, err := io.ReadFull(caller, got[n:min(n+writePieceBytes/2, len(got))])
			must.NoError(t, err)
			n += more
		}
		must.NoError(t, <-written)
		test.Eq(t, "head"+string(body), string(got))
		test.Greater(t, writeStallTimeout, time.Since(start))
		_, err := w.Write(body)
		test.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
}
