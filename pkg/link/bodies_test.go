package link

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newExecutorWithBodyLimit returns a server that holds at most limitBytes of bodies. Its
// calls run until they are cancelled.
func newExecutorWithBodyLimit(t *testing.T, limitBytes int) *Server {
	s := settings.Default()
	s.Limits.BodiesBytes = limitBytes
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	runner := runnerFunc(func(_ *wire.Call, _ []byte, done func(call.Result)) func() {
		return func() { done(call.Refused(errkind.CallerGone, "")) }
	})
	server := Listen(common.NewCommon(events.Discard(), &s), &nopHandler{up: make(chan *Peer, 10)}, runner, listener, nil, NewHeartbeatTiming(testIdle))
	t.Cleanup(server.Close)
	return server
}

// waitForReserved waits until the server holds bodies of exactly size bytes in total.
func waitForReserved(t *testing.T, server *Server, size int64) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return server.Bodies.Reserved() == size }),
		wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// TestExecutorRefusesBodiesOverItsLimit checks that a call is reported as not run if its body
// would exceed limits.bodies_bytes, and that the executor accepts bodies again once earlier
// calls have ended.
func TestExecutorRefusesBodiesOverItsLimit(t *testing.T) {
	server := newExecutorWithBodyLimit(t, 100<<10)
	handler := &nopHandler{up: make(chan *Peer, 10)}
	client, err := DialClient(context.Background(), testCommon(), handler, server.address, DialOptions{HeartbeatTiming: NewHeartbeatTiming(testIdle)})
	must.NoError(t, err)
	go client.Run()
	defer client.Close()
	<-handler.up
	body := make([]byte, 60<<10)
	cancel := client.Execute(&wire.Call{}, body, func(call.Result) {})
	waitForReserved(t, server, 60<<10)
	refused := execute(client, "/", body)
	must.NotNil(t, refused.Refusal)
	test.Eq(t, errkind.Overloaded, refused.Refusal.Kind)
	test.Eq(t, errkind.RanNo, refused.Refusal.Ran)
	cancel()
	waitForReserved(t, server, 0)
	cancelSecond := client.Execute(&wire.Call{}, body, func(call.Result) {})
	waitForReserved(t, server, 60<<10)
	cancelSecond()
	waitForReserved(t, server, 0)
}

// TestIncompleteBodyIsReleased checks that the memory of an incomplete body is released when
// the call is cancelled or the link ends.
func TestIncompleteBodyIsReleased(t *testing.T) {
	for name, endCall := range map[string]func(ws *websocket.Conn, send func(wire.Frame)){
		"a cancel":      func(_ *websocket.Conn, send func(wire.Frame)) { send(&wire.Cancel{ID: 1}) },
		"a broken link": func(ws *websocket.Conn, _ func(wire.Frame)) { _ = ws.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			server := newExecutorWithBodyLimit(t, 1<<20)
			ws, resp, err := websocket.DefaultDialer.Dial("ws://"+server.address+linkPath, nil)
			must.NoError(t, err)
			_ = resp.Body.Close()
			defer func() { _ = ws.Close() }()
			codec, err := wire.NewCodec()
			must.NoError(t, err)
			send := func(f wire.Frame) {
				var buf bytes.Buffer
				must.NoError(t, codec.Append(&buf, f))
				must.NoError(t, ws.WriteMessage(websocket.BinaryMessage, buf.Bytes()))
			}
			first, chunks := wire.Split(make([]byte, 3*wire.ChunkSize))
			chunks[0].ID = 1
			send(&wire.Hello{VM: "entry"})
			send(&wire.Call{ID: 1, Body: first})
			send(chunks[0])
			waitForReserved(t, server, 3*wire.ChunkSize)
			endCall(ws, send)
			waitForReserved(t, server, 0)
		})
	}
}
