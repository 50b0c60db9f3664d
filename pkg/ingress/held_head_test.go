package ingress

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/connections"
)

// heldReader is a connReader with its caller, and what its Reads return.
type heldReader struct {
	caller net.Conn
	reader *connReader
	// returned is what the Reads have returned until now.
	returned strings.Builder
	err      error
}

func startHeldReader(entry *connections.Entry) *heldReader {
	caller, server := net.Pipe()
	out := &heldReader{caller: caller, reader: newConnReader(server, 64<<10, func() {})}
	out.reader.maxHeldBytes, out.reader.entry = 16<<10, entry
	go func() {
		buf := make([]byte, 4096)
		for out.err == nil {
			var n int
			n, out.err = out.reader.Read(buf)
			out.returned.Write(buf[:n])
		}
	}()
	return out
}

func (h *heldReader) send(t *testing.T, text string) {
	_, err := h.caller.Write([]byte(text))
	must.NoError(t, err)
	synctest.Wait()
}

// TestIncompleteHeadsAreHeldBack guards against the memory that http.Server takes up for the
// lines of heads that stay incomplete.
func TestIncompleteHeadsAreHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := connections.NewTable("test", connections.Limits{}, metrics.NewSet())
		entry := table.NewEntry()
		must.True(t, table.Open(entry, func() {}))
		h := startHeldReader(entry)
		defer h.caller.Close()
		h.send(t, "GET / HT")
		test.Eq(t, "GET / HT", h.returned.String())
		h.send(t, "TP/1.1\r\na:")
		test.Eq(t, "GET / HTTP/1.1\r\n", h.returned.String())
		for range 1000 {
			h.send(t, "\n")
			h.send(t, "b:")
		}
		test.Eq(t, "GET / HTTP/1.1\r\n", h.returned.String())
		test.Len(t, 1, h.reader.chunks)
		h.send(t, "\r\n\r\nbody")
		test.Eq(t, "GET / HTTP/1.1\r\na:"+strings.Repeat("\nb:", 1000)+"\r\n\r\nbody", h.returned.String())
		test.Zero(t, h.reader.chargedBytes)
	})
}

// TestHeadsBeyondTheLimitAreNotHeldBack: http.Server refuses them.
func TestHeadsBeyondTheLimitAreNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHeldReader(nil)
		defer h.caller.Close()
		h.send(t, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\n", 6000))
		test.Eq(t, len("GET / HTTP/1.1\r\n")+18_000, h.returned.Len())
	})
}

// TestIncompleteHeadsWithoutRoomEnd guards against held heads that exceed the memory for
// callers together.
func TestIncompleteHeadsWithoutRoomEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := connections.NewTable("test", connections.Limits{Bytes: 40_000}, metrics.NewSet())
		entry := table.NewEntry()
		must.True(t, table.Open(entry, func() {}))
		h := startHeldReader(entry)
		defer h.caller.Close()
		h.send(t, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\n", 1000))
		test.NoError(t, h.err)
		_, _ = h.caller.Write([]byte(strings.Repeat("a:\n", 2000)))
		synctest.Wait()
		test.ErrorIs(t, h.err, errNoRoomForHead)
	})
}

// TestParsedHeadsCountByTheirLines guards against parsed heads of many lines that exceed the
// memory for callers together. Ordinary heads do not count.
func TestParsedHeadsCountByTheirLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := connections.NewTable("test", connections.Limits{Bytes: 1_000_000}, metrics.NewSet())
		entry := table.NewEntry()
		must.True(t, table.Open(entry, func() {}))
		h := startHeldReader(entry)
		defer h.caller.Close()
		for _, s := range []struct {
			lines, bytes int
			ok           bool
		}{
			{ordinaryHeadLines - 1, 0, true}, {1000, 1001 * parsedLineBytes, true}, {4000, 0, false},
		} {
			h.send(t, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\n", s.lines)+"\r\n")
			bytes, ok := h.reader.takeHead()
			test.Eq(t, s.bytes, bytes)
			test.Eq(t, s.ok, ok)
			entry.Shrink(bytes)
			h.reader.expectHead()
		}
	})
}

// TestReadingAheadStopsWithoutRoom guards against connections that are read ahead and exceed the
// memory for callers together.
func TestReadingAheadStopsWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, sent = 100_000, 60_000
		table := connections.NewTable("test", connections.Limits{Bytes: limit}, metrics.NewSet())
		var readers []*connReader
		for range 2 {
			entry := table.NewEntry()
			must.True(t, table.Open(entry, func() {}))
			caller, server := net.Pipe()
			defer caller.Close()
			r := newConnReader(server, 64<<10, func() {})
			r.entry = entry
			r.watch(-1)
			go func() { _, _ = caller.Write(make([]byte, sent)) }()
			readers = append(readers, r)
		}
		synctest.Wait()
		buffered := 0
		for _, r := range readers {
			r.mu.Lock()
			buffered += r.bufferedBytes
			r.mu.Unlock()
		}
		test.LessEq(t, limit, buffered)
		test.Greater(t, 0, buffered)
		for _, r := range readers {
			got := make([]byte, sent)
			_, err := io.ReadFull(r, got)
			test.NoError(t, err)
			r.stop()
		}
	})
}
