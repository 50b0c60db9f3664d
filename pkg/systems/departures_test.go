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
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

func newDeparturesEnv(t *testing.T, informed bool) (*Env, *fakestore.Store, func()) {
	env := testEnv()
	platform := fakestore.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	env.DaemonContext, env.Platform, env.Backend = ctx, platform, backend.NewLifecycle(informed, nil)
	system := newDepartures(env)
	return env, platform, func() {
		mail := env.World.Inbox.Take()
		system.Tick(env.Now(), &mail)
	}
}

func TestRestartedDaemonLearnsADepartureFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, platform, tick := newDeparturesEnv(t, true)
		first.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})
		tick()
		test.MapContainsKey(t, first.World.Departures, "i-1")

		second, _, tick := newDeparturesEnv(t, false)
		second.Platform = platform
		second.Backend.RecordGoodHealthCheck(1, "i-1")
		_, ok := second.Backend.Accepting()
		must.False(t, ok)
		tick()
		synctest.Wait()
		tick()
		must.True(t, second.Backend.DeparturesKnown())
		_, ok = second.Backend.Accepting()
		test.False(t, ok, test.Sprint("a departed incarnation gets no requests"))
		second.Backend.RecordGoodHealthCheck(2, "i-2")
		second.Backend.RecordHeartbeat(3, backend.Heartbeat{InstanceID: "i-2", Sequence: 1})
		_, ok = second.Backend.Accepting()
		test.True(t, ok)
	})
}

// TestDepartureInTheFutureIsIgnored guards against a row or a frame with a start that no process
// has: each later process of the instance would count as departed.
func TestDepartureInTheFutureIsIgnored(t *testing.T) {
	env, _, tick := newDeparturesEnv(t, true)
	env.Backend.RecordGoodHealthCheck(1, "i-1")
	env.Backend.RecordHeartbeat(2, backend.Heartbeat{InstanceID: "i-1", Sequence: 1, StartedAtMS: time.Now().UnixMilli()})
	for _, from := range []*link.Peer{nil, {Hello: wire.Hello{VM: "peer"}}} {
		env.World.Inbox.Post(false, func(m *tables.Mail) {
			m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{Peer: from, Frame: &wire.Departures{IDs: []string{"i-1@9223372036854775807", "i-2@1"}}})
		})
		tick()
	}
	_, ok := env.Backend.Accepting()
	test.True(t, ok)
	test.MapNotContainsKey(t, env.World.Departures, "i-1@9223372036854775807")
	test.MapContainsKey(t, env.World.Departures, "i-2@1")
}

func TestUninformedPeerDoesNotMakeTheDaemonInformed(t *testing.T) {
	env, platform, tick := newDeparturesEnv(t, false)
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
	env.Backend.RecordGoodHealthCheck(1, "i-1")
	_, ok := env.Backend.Accepting()
	test.False(t, ok)
}

func TestDaemonTrustsItsBackendServerAfterTheDeparturesTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, platform, tick := newDeparturesEnv(t, false)
		platform.SetFaults(fakestore.Faults{Down: true})
		for range 100 {
			tick()
			time.Sleep(departuresTimeout / 50)
		}
		test.True(t, env.Backend.DeparturesKnown())
	})
}

func TestDepartureIsStoredAlthoughTheAnswerIsLost(t *testing.T) {
	env, platform, tick := newDeparturesEnv(t, true)
	platform.SetFaults(fakestore.Faults{LoseAnswers: 1})
	env.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})
	tick()
	test.MapContainsKey(t, env.World.Departures, "i-1")
	platform.SetFaults(fakestore.Faults{})
	rows, err := platform.Scan(t.Context(), departurePrefix, "", 10)
	must.NoError(t, err)
	test.Len(t, 1, rows)
}

func TestOldDeparturesAreForgotten(t *testing.T) {
	env, _, _ := newDeparturesEnv(t, true)
	system := newDepartures(env)
	system.add(1, nil, "old")
	system.add(2+departureRetention, nil, "new")
	test.MapNotContainsKey(t, env.World.Departures, "old")
}

// TestDeparturesAreSentOnceOverEachNewLink: the system must not go through all links at
// each tick, which would cost a daemon with hundreds of links more than the sending
// itself.
func TestDeparturesAreSentOnceOverEachNewLink(t *testing.T) {
	env, _, tick := newDeparturesEnv(t, false)
	first := &link.Peer{Conn: link.NewClosedConn()}
	env.World.Peers.GetOrAdd(first)
	tick()
	test.False(t, env.World.Peers.GetOrAdd(first).DeparturesSent, test.Sprint("nothing is sent until the departures are known"))
	env.Backend.RecordDeparturesKnown()
	tick()
	test.True(t, env.World.Peers.GetOrAdd(first).DeparturesSent)
	second := &link.Peer{Conn: link.NewClosedConn()}
	env.World.Peers.GetOrAdd(second)
	tick()
	test.True(t, env.World.Peers.GetOrAdd(second).DeparturesSent)
}

// TestFewDaemonsRelayADepartureToOtherDataCentres checks that of sixty daemons that
// receive a departure exactly broadcastRelays relay it, and that a daemon without links
// in its data centre relays all.
func TestFewDaemonsRelayADepartureToOtherDataCentres(t *testing.T) {
	const daemons = 60
	s := gossipFleet(daemons)
	relays := map[string]int{}
	ids := []string{"i-1", "i-2", "i-3", "i-4"}
	for n := range daemons {
		s.World.VM = fmt.Sprint("here", n)
		localPeers, _ := s.peersByGroup()
		for _, id := range selectForRelay(s.Env, withoutVM(localPeers, s.World.VM), ids, identity) {
			relays[id]++
		}
	}
	for _, id := range ids {
		test.Eq(t, broadcastRelays, relays[id])
	}
	test.Eq(t, ids, selectForRelay(testEnv(), nil, ids, identity))
}

func identity(id string) string { return id }

func withoutVM(peers []*link.Peer, vm string) (out []*link.Peer) {
	for _, peer := range peers {
		if peer.Hello.VM != vm {
			out = append(out, peer)
		}
	}
	return out
}

// TestDepartureWithoutStartTimeEndsWithItsProcess: a daemon of the previous release has stored
// a departure without a start time, and peers repeat it.
func TestDepartureWithoutStartTimeEndsWithItsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		old, platform, _ := newDeparturesEnv(t, true)
		old.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})

		env, _, tick := newDeparturesEnv(t, false)
		env.Platform = platform
		startedAtMS := time.Now().UnixMilli()
		accepting := func(at int64, startedAtMS int64) bool {
			env.Backend.RecordHeartbeat(at, backend.Heartbeat{InstanceID: "i-1", StartedAtMS: startedAtMS, Sequence: 1})
			env.Backend.RecordGoodHealthCheck(at, "i-1")
			_, ok := env.Backend.Accepting()
			return ok
		}
		tick()
		synctest.Wait()
		tick()
		must.True(t, env.Backend.DeparturesKnown())
		test.False(t, accepting(1, startedAtMS-1000))
		test.True(t, accepting(2, startedAtMS+1000))
		env.World.Inbox.Post(true, func(m *tables.Mail) {
			m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{Peer: &link.Peer{Conn: link.NewClosedConn()}, Frame: &wire.Departures{IDs: []string{"i-1"}}})
		})
		tick()
		_, ok := env.Backend.Accepting()
		test.True(t, ok, test.Sprint("a peer repeats the departure"))
	})
}

// TestDepartureWithAStartTimeTakesPrecedence over one without, in whatever order both are read.
func TestDepartureWithAStartTimeTakesPrecedence(t *testing.T) {
	for _, ids := range [][]string{{"i-1", "i-1@100"}, {"i-1@100", "i-1"}} {
		env, _, tick := newDeparturesEnv(t, false)
		env.World.Inbox.Post(true, func(m *tables.Mail) {
			m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{Frame: &wire.Departures{IDs: ids, Informed: true}})
		})
		tick()
		env.Backend.RecordHeartbeat(1, backend.Heartbeat{InstanceID: "i-1", StartedAtMS: 100, Sequence: 9})
		env.Backend.RecordGoodHealthCheck(1, "i-1")
		_, ok := env.Backend.Accepting()
		test.False(t, ok)
		env.Backend.RecordHeartbeat(2, backend.Heartbeat{InstanceID: "i-1", StartedAtMS: 200, Sequence: 1})
		env.Backend.RecordGoodHealthCheck(2, "i-1")
		_, ok = env.Backend.Accepting()
		test.True(t, ok)
	}
}

// tickFor ticks for a while, in a bubble of synctest.
func tickFor(tick func(), d time.Duration) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		tick()
		synctest.Wait()
	}
}

// TestUnstoredDepartureIsWrittenAfterTheOutage guards against a departure that is acknowledged
// while the store is away, and that nobody writes once it is back.
func TestUnstoredDepartureIsWrittenAfterTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, platform, tick := newDeparturesEnv(t, true)
		platform.SetFaults(fakestore.Faults{Down: true})
		env.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})
		tickFor(tick, time.Minute)
		test.Eq(t, 1, env.UnstoredDepartures())
		platform.SetFaults(fakestore.Faults{})
		tickFor(tick, 2*departureWriteDelayMax)
		test.Eq(t, 0, env.UnstoredDepartures())
		rows, err := platform.Scan(t.Context(), departurePrefix, "", 10)
		must.NoError(t, err)
		test.Len(t, 1, rows)
	})
}

// TestReportedDepartureOfTheOwnBackendServerIsStored: the earlier process of the daemon may
// have been killed before it could write the departure, and its peers may be killed next.
func TestReportedDepartureOfTheOwnBackendServerIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env, platform, tick := newDeparturesEnv(t, false)
		env.World.Inbox.Post(true, func(m *tables.Mail) {
			m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{
				Peer: &link.Peer{Conn: link.NewClosedConn()}, Frame: &wire.Departures{IDs: []string{"i-1", "i-other"}, Informed: true},
			})
		})
		tick()
		env.Backend.RecordGoodHealthCheck(1, "i-1")
		stored := func() []store.Row {
			tickFor(tick, time.Second)
			rows, err := platform.Scan(t.Context(), departurePrefix, "", 10)
			must.NoError(t, err)
			return rows
		}
		rows := stored()
		must.Len(t, 1, rows)
		test.StrContains(t, rows[0].Key, "i-1")

		// The store is restored from a backup that lacks the row, which another process wrote.
		must.NoError(t, platform.Transact(t.Context(), []store.Write{{Key: rows[0].Key, IfVersion: rows[0].Version, Delete: true}}))
		must.Len(t, 0, stored())
		env.World.Inbox.Post(true, func(m *tables.Mail) { m.StoreRestored = true })
		must.Len(t, 1, stored())
	})
}

// TestDaemonThatGaveUpWaitingGoesOnReading guards against a stored departure that is never
// read because the store was away for longer than departuresTimeout. Until it is read, the
// daemon does not tell peers that it knows all departures.
func TestDaemonThatGaveUpWaitingGoesOnReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, platform, _ := newDeparturesEnv(t, true)
		first.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})
		platform.SetFaults(fakestore.Faults{Down: true})

		env, _, _ := newDeparturesEnv(t, false)
		env.Platform = platform
		system := newDepartures(env)
		tick := func() {
			mail := env.World.Inbox.Take()
			system.Tick(env.Now(), &mail)
		}
		env.Backend.RecordGoodHealthCheck(1, "i-1")
		peer := env.World.Peers.GetOrAdd(&link.Peer{Conn: link.NewClosedConn()})
		tickFor(tick, 2*departuresTimeout)
		test.True(t, peer.DeparturesSent)
		test.False(t, peer.InformedSent)
		_, ok := env.Backend.Accepting()
		must.True(t, ok, must.Sprint("the store is away, and the health check is good"))
		test.False(t, system.allDepartures().Informed)
		platform.SetFaults(fakestore.Faults{})
		tickFor(tick, 2*departuresReadIntervalMax)
		_, ok = env.Backend.Accepting()
		test.False(t, ok, test.Sprint("the departure was read"))
		test.True(t, system.allDepartures().Informed)
		test.True(t, peer.InformedSent)
	})
}

// TestDaemonsThatStartedTogetherDoNotReadTogether guards against a store that gets the reads
// of all daemons at once after a start of all in an outage.
func TestDaemonsThatStartedTogetherDoNotReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 32
		platform := fakestore.New()
		platform.SetFaults(fakestore.Faults{Down: true})
		var all []*departures
		for range daemons {
			env, _, _ := newDeparturesEnv(t, false)
			env.Platform = platform
			all = append(all, newDepartures(env))
		}
		tickFor(func() {
			for _, d := range all {
				d.Tick(d.Now(), &tables.Mail{})
			}
		}, 2*departuresTimeout)
		seconds, latest := map[int64]int{}, int64(0)
		for _, d := range all {
			seconds[d.timer.nextAt/int64(time.Second)]++
			latest = max(latest, d.timer.nextAt-d.Now())
		}
		test.Greater(t, 2, len(seconds), test.Sprintf("seconds with reads: %v", seconds))
		test.LessEq(t, int64(departuresReadIntervalMax), latest)
	})
}
