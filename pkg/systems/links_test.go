package systems

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestStampsOfARestartedDaemonAreApplied: the record of the new process arrived before
// the link to it came up. The stamps of the new process are numbered from 1 again, and
// must not be ignored as older than the last one of the old process.
func TestStampsOfARestartedDaemonAreApplied(t *testing.T) {
	env := testEnv()
	env.DaemonContext = t.Context()
	env.DialOptions = link.DialOptions{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, io.ErrClosedPipe }}
	const old, restarted = 7, 8
	row := wire.Member{VM: "b", Started: 1, Incarnation: old, Service: "s", DataCentre: "dc", Slots: 12}
	env.World.Members.Merge(1, nil, row)
	index, ok := env.World.Members.Find("b")
	must.True(t, ok)
	endpoint := env.World.Members.Endpoint[index]
	l := &links{Env: env}
	l.Tick(1, &tables.Mail{})
	up := func(incarnation uint64) {
		client := &link.Client{Peer: &link.Peer{Hello: wire.Hello{VM: "b", Incarnation: incarnation}}}
		l.Tick(2, &tables.Mail{LinkEvents: []tables.LinkEvent{{Up: true, Peer: client.Peer, Client: client, Endpoint: endpoint}}})
	}
	up(old)
	endpoint.Load.ApplyStamp(3, wire.Stamp{Seq: 500, Limit: 9, Running: 9})
	row.Incarnation = restarted
	env.World.Members.Merge(4, nil, row)
	up(restarted)
	endpoint.Load.ApplyStamp(5, wire.Stamp{Seq: 1, Limit: 9, Running: 2})
	test.Eq(t, 2, endpoint.Load.Snapshot(6).InFlight)
	// A second link to the same process does not reset the load.
	up(restarted)
	test.Eq(t, 2, endpoint.Load.Snapshot(6).InFlight)
}

// TestLinkToAnUnresponsivePeerIsClosedWhileCallsWait: a VM that loses power does not
// close its connections, and in a large fleet heartbeats are too rare to notice it soon.
func TestLinkToAnUnresponsivePeerIsClosedWhileCallsWait(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := (&websocket.Upgrader{}).Upgrade(w, r, nil)
		if err != nil {
			return
		}
		// The server reads nothing, so that pings are not answered.
		<-release
		_ = ws.Close()
	}))
	defer server.Close()
	defer close(release)
	env := testEnv()
	env.Settings.Links.Heartbeat = 10 * time.Millisecond
	client, err := link.DialClient(t.Context(), env.Common, env.Control, strings.TrimPrefix(server.URL, "http://"), link.DialOptions{HeartbeatTiming: link.NewHeartbeatTiming(time.Minute)})
	must.NoError(t, err)
	endpoint := &tables.Endpoint{Load: tables.NewLoad(1)}
	l := &links{Env: env, clients: map[*tables.Endpoint]*link.Client{endpoint: client}}
	client.Probe()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return client.UnansweredFor() > link.MaxMissedHeartbeats*env.Settings.Links.Heartbeat }), wait.Timeout(10*time.Second)))
	l.closeUnresponsive()
	must.NoError(t, client.Send(&wire.Cancel{}), must.Sprint("no call waits for an answer"))
	endpoint.Load.RecordSent(1)
	l.closeUnresponsive()
	must.ErrorIs(t, client.Send(&wire.Cancel{}), link.ErrClosed)
}
