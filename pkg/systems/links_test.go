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

// TestStampsOfARestartedDaemonAreTakenOver: other daemons told of the new
// process before the link to it came up. Its stamps begin at 1 again; the old
// process's last one must not keep them out.
func TestStampsOfARestartedDaemonAreTakenOver(t *testing.T) {
	env := testEnv()
	env.DaemonContext = t.Context()
	env.DialOptions = link.DialOptions{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, io.ErrClosedPipe }}
	const old, restarted = 7, 8
	row := wire.Member{VM: "b", Started: 1, Incarnation: old, Service: "s", DataCentre: "dc", Slots: 12}
	env.World.Members.Merge(1, nil, row)
	at, ok := env.World.Members.Find("b")
	must.True(t, ok)
	route := env.World.Members.Endpoint[at]
	l := &links{Env: env}
	l.Tick(1, &tables.Mail{})
	up := func(incarnation uint64) {
		client := &link.Client{Peer: &link.Peer{Hello: wire.Hello{VM: "b", Incarnation: incarnation}}}
		l.Tick(2, &tables.Mail{LinkEvents: []tables.LinkEvent{{Up: true, Peer: client.Peer, Client: client, Endpoint: route}}})
	}
	up(old)
	route.Load.ApplyStamp(3, wire.Stamp{Seq: 500, Limit: 9, Running: 9})
	row.Incarnation = restarted
	env.World.Members.Merge(4, nil, row)
	up(restarted)
	route.Load.ApplyStamp(5, wire.Stamp{Seq: 1, Limit: 9, Running: 2})
	test.Eq(t, 2, route.Load.Snapshot(6).InFlight)
	// A second link to the same process forgets nothing.
	up(restarted)
	test.Eq(t, 2, route.Load.Snapshot(6).InFlight)
}

// TestALinkWhosePeerOwesASignOfLifeIsClosedWhileCallsWait: heartbeats are rare in
// a large fleet, and a VM without power ends no connection.
func TestALinkWhosePeerOwesASignOfLifeIsClosedWhileCallsWait(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := (&websocket.Upgrader{}).Upgrade(w, r, nil)
		if err != nil {
			return
		}
		// It reads nothing, so that pings stay unanswered.
		<-release
		_ = ws.Close()
	}))
	defer server.Close()
	defer close(release)
	env := testEnv()
	env.Settings.Links.Heartbeat = 10 * time.Millisecond
	client, err := link.DialClient(t.Context(), env.Common, env.Control, strings.TrimPrefix(server.URL, "http://"), link.DialOptions{Pace: link.NewPace(time.Minute)})
	must.NoError(t, err)
	route := &tables.Endpoint{Load: tables.NewLoad(1)}
	l := &links{Env: env, clients: map[*tables.Endpoint]*link.Client{route: client}}
	client.Probe()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return client.Unanswered() > link.MissedHeartbeats*env.Settings.Links.Heartbeat }), wait.Timeout(10*time.Second)))
	l.closeSilent()
	must.NoError(t, client.Send(&wire.Cancel{}), must.Sprint("nobody waits for it"))
	route.Load.RecordSent(1)
	l.closeSilent()
	must.ErrorIs(t, client.Send(&wire.Cancel{}), link.ErrClosed)
}
