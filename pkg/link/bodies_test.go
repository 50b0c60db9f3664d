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

// smallExecutor listens with room for so many bytes of bodies. Its calls run
// until they are cancelled.
func smallExecutor(t *testing.T, room int) *Server {
	s := settings.Default()
	s.Limits.BodiesBytes = room
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	runs := runnerFunc(func(_ *wire.Call, _ []byte, done func(call.Result)) func() {
		return func() { done(call.Refused(errkind.CallerGone, "")) }
	})
	server := Listen(common.NewCommon(events.Discard(), &s), &quietControl{up: make(chan *Peer, 10)}, runs, listener, nil, NewHeartbeatTiming(testHeartbeat))
	t.Cleanup(server.Close)
	return server
}

func holds(t *testing.T, server *Server, bytes int64) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return server.Bodies.Reserved() == bytes }),
		wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// TestAnExecutorWithoutRoomRefusesAsNotRun, and takes bodies again once those
// before have ended.
func TestAnExecutorWithoutRoomRefusesAsNotRun(t *testing.T) {
	server := smallExecutor(t, 100<<10)
	control := &quietControl{up: make(chan *Peer, 10)}
	client, err := DialClient(context.Background(), testCommon(), control, server.address, DialOptions{HeartbeatTiming: NewHeartbeatTiming(testHeartbeat)})
	must.NoError(t, err)
	go client.Run()
	defer client.Close()
	<-control.up
	body := make([]byte, 60<<10)
	cancel := client.Execute(&wire.Call{}, body, func(call.Result) {})
	holds(t, server, 60<<10)
	refused := do(client, "/", body)
	must.NotNil(t, refused.Refusal)
	test.Eq(t, errkind.Overloaded, refused.Refusal.Kind)
	test.Eq(t, errkind.RanNo, refused.Refusal.Ran)
	cancel()
	holds(t, server, 0)
	again := client.Execute(&wire.Call{}, body, func(call.Result) {})
	holds(t, server, 60<<10)
	again()
	holds(t, server, 0)
}

// TestHalfABodyHoldsNoRoom once its caller has left, or its link broke.
func TestHalfABodyHoldsNoRoom(t *testing.T) {
	for name, end := range map[string]func(ws *websocket.Conn, send func(wire.Frame)){
		"a cancel":      func(_ *websocket.Conn, send func(wire.Frame)) { send(&wire.Cancel{ID: 1}) },
		"a broken link": func(ws *websocket.Conn, _ func(wire.Frame)) { _ = ws.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			server := smallExecutor(t, 1<<20)
			ws, resp, err := websocket.DefaultDialer.Dial("ws://"+server.address+path, nil)
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
			holds(t, server, 3*wire.ChunkSize)
			end(ws, send)
			holds(t, server, 0)
		})
	}
}
