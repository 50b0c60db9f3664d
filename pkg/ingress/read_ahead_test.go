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

// TestDisconnectBehindAChunkedBodyIsNoticed: the first bytes of the next request arrive
// right after the last chunk, before the handler has started.
func TestDisconnectBehindAChunkedBodyIsNoticed(t *testing.T) {
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

// TestReadAheadMemoryIsLimited: the limit holds for the memory of the buffered bytes even
// if they arrive one by one. The unread bytes are counted without the overhead.
func TestReadAheadMemoryIsLimited(t *testing.T) {
	const maxBufferedBytes = 256 << 10
	server, client := net.Pipe()
	reader := newConnReader(server, maxBufferedBytes, func() {})
	reader.mu.Lock()
	reader.startReadAhead()
	reader.mu.Unlock()
	sent := 0
	for {
		must.NoError(t, client.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		if _, err := client.Write([]byte{'x'}); err != nil {
			break
		}
		sent++
	}
	reader.mu.Lock()
	chunks, bufferedBytes := len(reader.chunks), reader.bufferedBytes
	reader.mu.Unlock()
	test.LessEq(t, maxBufferedBytes/chunkOverheadBytes, chunks)
	test.LessEq(t, maxBufferedBytes+chunkOverheadBytes+1, bufferedBytes)
	reader.stop()
	_, unreadBytes := reader.status()
	test.Eq(t, sent, unreadBytes)
	_ = client.Close()
	_ = server.Close()
}
