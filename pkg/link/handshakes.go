package link

import (
	"net"
	"net/http"
	"sync"

	"github.com/rushramp/rushramp/pkg/connections"
)

// maxHandshakeBytes limits the head of a request to open a link.
const maxHandshakeBytes = 4 << 10

// handshakes limits the connections that are not links yet: those of peers that have not sent
// their request to open one.
type handshakes struct {
	table *connections.Table
	// entries holds the *connections.Entry of each net.Conn.
	entries sync.Map
}

// onConnState implements http.Server.ConnState. A connection that becomes a link is hijacked.
func (h *handshakes) onConnState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		entry := h.table.NewEntry()
		if !h.table.Open(entry, func() { _ = c.Close() }) {
			_ = c.Close()
			return
		}
		h.entries.Store(c, entry)
	case http.StateHijacked, http.StateClosed:
		if entry, ok := h.entries.LoadAndDelete(c); ok {
			entry.(*connections.Entry).Close()
		}
	}
}
