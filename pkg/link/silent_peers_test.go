package link

import (
	"bytes"
	"net"
	"testing"

	"github.com/gorilla/websocket"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/wire"
)

// silentEntry is an entry that offers a body and ignores grants.
type silentEntry struct {
	*websocket.Conn
	codec *wire.Codec
}

func dialSilentEntry(t *testing.T, server *Server) *silentEntry {
	ws, resp, err := websocket.DefaultDialer.Dial("ws://"+server.address+linkPath, nil)
	must.NoError(t, err)
	_ = resp.Body.Close()
	t.Cleanup(func() { _ = ws.Close() })
	codec, err := wire.NewCodec()
	must.NoError(t, err)
	e := &silentEntry{ws, codec}
	e.send(t, &wire.Hello{VM: "silent", Features: wire.FeatureGrants})
	return e
}

func (e *silentEntry) send(t *testing.T, f wire.Frame) {
	var buf bytes.Buffer
	must.NoError(t, e.codec.Append(&buf, f))
	must.NoError(t, e.WriteMessage(websocket.BinaryMessage, buf.Bytes()))
}

// receive returns the next frame of the given type.
func (e *silentEntry) receive(t *testing.T, frameType wire.Type) wire.Frame {
	for {
		_, data, err := e.ReadMessage()
		must.NoError(t, err)
		for len(data) > 0 {
			frame, rest, err := e.codec.Next(data)
			must.NoError(t, err)
			data = rest
			if frame.Type() == frameType {
				return frame
			}
		}
	}
}

// dialSilentExecutor opens a link to an executor that grants nothing.
func dialSilentExecutor(t *testing.T, features wire.Features) (client *Client, executor *Conn) {
	accepted := make(chan *Conn, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := Listen(testCommon(), &acceptHandler{nopHandler{up: make(chan *Peer, 1), features: features}, accepted}, newPlacesRunner(), listener, nil, NewHeartbeatTiming(testIdle))
	t.Cleanup(server.Close)
	client = dialServer(t, server)
	return client, <-accepted
}

// acceptHandler passes on the connections of accepted links.
type acceptHandler struct {
	nopHandler
	accepted chan *Conn
}

func (h *acceptHandler) Up(peer *Peer) { h.accepted <- peer.Conn }

// stopWriter makes the writer of a connection wait. Frames stay queued until the returned
// function is called.
func stopWriter(c *Conn) (resume func()) {
	c.mu.Lock()
	return c.mu.Unlock
}
