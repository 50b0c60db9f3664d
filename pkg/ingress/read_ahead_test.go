package ingress

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestALeavingBehindAChunkedBodyIsNoticed: the next request's first bytes
// come just behind the last chunk, before the handler has begun.
func TestALeavingBehindAChunkedBodyIsNoticed(t *testing.T) {
	const tries = 200
	for range tries {
		env, dial := startOnTCP(t, eightConcurrent)
		c := dial()
		_ = c.SetNoDelay(true)
		_, _ = io.WriteString(c, "POST /read/x HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(c, "\r\n")
		_, _ = io.WriteString(c, get("b"))
		waitUntil(t, "a runs", func() bool { return strings.HasPrefix(env.backend.startedIDs(), "a") })
		_ = c.Close()
		waitUntil(t, "a is cancelled", func() bool { return env.backend.cancelCount() > 0 })
	}
}

// TestBytesReadAheadAreBoundedInMemory: what the bound says is what a connection
// holds, in whatever pieces its bytes come, and unread bytes are counted as they came.
func TestBytesReadAheadAreBoundedInMemory(t *testing.T) {
	const most = 256 << 10
	server, client := net.Pipe()
	in := newConnReader(server, most, func() {})
	in.mu.Lock()
	in.startReadAhead()
	in.mu.Unlock()
	sent := 0
	for {
		must.NoError(t, client.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		if _, err := client.Write([]byte{'x'}); err != nil {
			break
		}
		sent++
	}
	in.mu.Lock()
	pieces, size := len(in.chunks), in.bufferedBytes
	in.mu.Unlock()
	test.LessEq(t, most/chunkOverheadBytes, pieces)
	test.LessEq(t, most+chunkOverheadBytes+1, size)
	in.stop()
	_, unread := in.status()
	test.Eq(t, sent, unread)
	_ = client.Close()
	_ = server.Close()
}
