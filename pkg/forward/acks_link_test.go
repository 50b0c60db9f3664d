package forward

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// linkHandler is the handler of both ends of the tests' links.
type linkHandler struct {
	link.Handler
	up chan *link.Peer
}

func (h *linkHandler) Hello() *wire.Hello {
	return &wire.Hello{VM: "vm", DataCentre: "here", Features: wire.FeatureAcks}
}
func (h *linkHandler) State() *wire.State                { return &wire.State{} }
func (h *linkHandler) Up(peer *link.Peer)                { h.up <- peer }
func (h *linkHandler) Down(*link.Peer, error)            {}
func (h *linkHandler) PeerState(*link.Peer, *wire.State) {}

// stallingConn is a connection that sends nothing from stall until it is closed, as one
// behind a queue that does not drain.
type stallingConn struct {
	net.Conn
	stalled chan struct{}
	closed  chan struct{}
	close   func()
}

func newStallingConn(conn net.Conn) *stallingConn {
	closed := make(chan struct{})
	return &stallingConn{Conn: conn, stalled: make(chan struct{}), closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

func (c *stallingConn) stall() { close(c.stalled) }

func (c *stallingConn) Write(data []byte) (int, error) {
	select {
	case <-c.stalled:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.Conn.Write(data)
	}
}

func (c *stallingConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// linkTo opens a link to a new executor, which runs calls with runner. The connection can be
// stalled.
func linkTo(t *testing.T, runner call.Runner) (*link.Client, *stallingConn) {
	s := settings.Default()
	c := common.NewCommon(events.Discard(), &s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	timing := link.NewHeartbeatTiming(s.Links.Heartbeat)
	server := link.Listen(c, &linkHandler{up: make(chan *link.Peer, 1)}, runner, listener, nil, timing)
	t.Cleanup(server.Close)
	var conn *stallingConn
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn = newStallingConn(raw)
		return conn, nil
	}
	handler := &linkHandler{up: make(chan *link.Peer, 1)}
	client, err := link.DialClient(t.Context(), c, handler, listener.Addr().String(), link.DialOptions{Dial: dial, HeartbeatTiming: timing})
	must.NoError(t, err)
	var running sync.WaitGroup
	running.Go(client.Run)
	t.Cleanup(func() {
		client.Close()
		running.Wait()
	})
	<-handler.up
	return client, conn
}

// TestACallOnAStalledLinkIsAnsweredElsewhere over two ends of two links: the call never
// leaves the entry's queue for the first executor.
func TestACallOnAStalledLinkIsAnsweredElsewhere(t *testing.T) {
	first, second := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
	firstLink, conn := linkTo(t, first)
	secondLink, _ := linkTo(t, second)
	f := newAckForwarder(firstLink, secondLink)
	// The first call measures the round trip, which the bound requires.
	must.NotNil(t, f.Forward(t.Context(), newRequest("/read/")).Answer)
	test.Len(t, 1, first.calls)
	conn.stall()
	got := f.Forward(t.Context(), newRequest("/read/"))
	must.NotNil(t, got.Answer)
	test.Eq(t, "b", got.Server)
	test.Len(t, 1, first.calls)
	test.Len(t, 1, second.calls)
	test.Eq(t, 1, spent(f), test.Sprint("the call was first sent over the stalled link"))
}
