package systems

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

func departuresEnv(t *testing.T, informed bool) (*Env, *fakestore.Store, func()) {
	env := testEnv()
	platform := fakestore.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	env.DaemonContext, env.Platform, env.Backend = ctx, platform, backend.NewLifecycle(informed, nil)
	system := &departures{Env: env}
	return env, platform, func() {
		mail := env.World.Inbox.Take()
		system.Tick(env.Now(), &mail)
	}
}

func TestARestartedDaemonLearnsADepartureFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, platform, tick := departuresEnv(t, true)
		first.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})
		tick()
		test.MapContainsKey(t, first.World.Departures, "i-1")

		second, _, tick := departuresEnv(t, false)
		second.Platform = platform
		second.Backend.RecordInstanceID(1, "i-1")
		_, ok := second.Backend.Accepting()
		must.False(t, ok)
		tick()
		synctest.Wait()
		tick()
		must.True(t, second.Backend.DeparturesKnown())
		_, ok = second.Backend.Accepting()
		test.False(t, ok, test.Sprint("the departed incarnation gets nothing"))
		second.Backend.RecordInstanceID(2, "i-2")
		_, ok = second.Backend.Accepting()
		test.True(t, ok)
	})
}

func TestAPeerThatIsNotInformedDoesNotInform(t *testing.T) {
	env, platform, tick := departuresEnv(t, false)
	platform.SetFaults(fakestore.Faults{Down: true})
	env.World.Inbox.Post(true, func(m *tables.Mail) {
		m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{Frame: &wire.Departures{IDs: []string{"i-1"}}})
	})
	tick()
	test.False(t, env.Backend.DeparturesKnown())
	env.World.Inbox.Post(true, func(m *tables.Mail) {
		m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{Frame: &wire.Departures{Informed: true}})
	})
	tick()
	test.True(t, env.Backend.DeparturesKnown())
	env.Backend.RecordInstanceID(1, "i-1")
	_, ok := env.Backend.Accepting()
	test.False(t, ok)
}

func TestADaemonThatNobodyInformsTrustsItsBackendServerInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, platform, tick := departuresEnv(t, false)
		platform.SetFaults(fakestore.Faults{Down: true})
		for range 100 {
			tick()
			time.Sleep(informedAfter / 50)
		}
		test.True(t, env.Backend.DeparturesKnown())
	})
}

func TestADepartureIsKeptAlthoughTheAnswerIsLost(t *testing.T) {
	env, platform, tick := departuresEnv(t, true)
	platform.SetFaults(fakestore.Faults{LoseAnswers: 1})
	env.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})
	tick()
	test.MapContainsKey(t, env.World.Departures, "i-1")
	platform.SetFaults(fakestore.Faults{})
	rows, err := platform.Scan(t.Context(), departurePrefix, "", 10)
	must.NoError(t, err)
	test.Len(t, 1, rows)
}

func TestDeparturesOfLongAgoAreForgotten(t *testing.T) {
	env, _, _ := departuresEnv(t, true)
	system := &departures{Env: env}
	system.add(1, nil, "old")
	system.add(2+departuresFor, nil, "new")
	test.MapNotContainsKey(t, env.World.Departures, "old")
}

// TestEachNewLinkIsToldOfTheDeparturesOnce: going through all links at each tick
// costs a daemon with hundreds of them more than what it has to say.
func TestEachNewLinkIsToldOfTheDeparturesOnce(t *testing.T) {
	env, _, tick := departuresEnv(t, false)
	first := &link.Peer{Conn: link.NewClosedConn()}
	env.World.Peers.GetOrAdd(first)
	tick()
	test.False(t, env.World.Peers.GetOrAdd(first).DeparturesSent, test.Sprint("a daemon that is not informed tells nothing"))
	env.Backend.RecordDeparturesKnown()
	tick()
	test.True(t, env.World.Peers.GetOrAdd(first).DeparturesSent)
	second := &link.Peer{Conn: link.NewClosedConn()}
	env.World.Peers.GetOrAdd(second)
	tick()
	test.True(t, env.World.Peers.GetOrAdd(second).DeparturesSent)
}

// TestADepartureCrossesIntoOtherDataCentresAFewTimes: of sixty daemons that hear of
// it, floodRelays pass it on, whichever departure it is; with no link inside the
// data centre each does.
func TestADepartureCrossesIntoOtherDataCentresAFewTimes(t *testing.T) {
	const daemons = 60
	s := spreadFleet(daemons)
	relays := map[string]int{}
	ids := []string{"i-1", "i-2", "i-3", "i-4"}
	for n := range daemons {
		s.World.VM = fmt.Sprint("here", n)
		near, _ := s.peersByGroup()
		for _, id := range selectForRelay(s.Env, without(near, s.World.VM), ids, itself) {
			relays[id]++
		}
	}
	for _, id := range ids {
		test.Eq(t, floodRelays, relays[id])
	}
	test.Eq(t, ids, selectForRelay(testEnv(), nil, ids, itself))
}

func itself(id string) string { return id }

func without(peers []*link.Peer, vm string) (out []*link.Peer) {
	for _, peer := range peers {
		if peer.Hello.VM != vm {
			out = append(out, peer)
		}
	}
	return out
}
