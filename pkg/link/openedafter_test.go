package link

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/wire"
)

// clockHandler records when it was asked for its hello frame.
type clockHandler struct {
	nopHandler
	common *common.Common
	asked  chan int64
}

func newClockHandler(c *common.Common) *clockHandler {
	return &clockHandler{nopHandler: nopHandler{up: make(chan *Peer, 1)}, common: c, asked: make(chan int64, 1)}
}

func (h *clockHandler) Hello() *wire.Hello {
	h.asked <- h.common.Now()
	return h.nopHandler.Hello()
}

// TestLinkIsOpenedBeforeThePeerStatesItsUptime: with a later time, an old process would be
// taken for one that cannot hold a lease.
func TestLinkIsOpenedBeforeThePeerStatesItsUptime(t *testing.T) {
	c := testCommon()
	accepts, dials := newClockHandler(c), newClockHandler(c)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	before := c.Now()
	server := Listen(c, accepts, runnerFunc(echo), listener, nil, NewHeartbeatTiming(testIdle))
	client, err := DialClient(context.Background(), c, dials, listener.Addr().String(), DialOptions{HeartbeatTiming: NewHeartbeatTiming(testIdle)})
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		client.Run()
		close(ended)
	}()
	t.Cleanup(func() {
		client.Close()
		server.Close()
		<-ended
	})
	test.Between(t, before, (<-dials.up).OpenedAfter, <-accepts.asked)
	test.Between(t, before, (<-accepts.up).OpenedAfter, <-dials.asked)
}
