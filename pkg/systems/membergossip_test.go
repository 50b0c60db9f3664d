package systems

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// gossipFleet returns the memberGossip system of a daemon. The daemon has two links to
// each other member; each is the number of those in its own data centre and in another
// one.
func gossipFleet(each int) *memberGossip {
	env := testEnv()
	for _, dataCentre := range []string{"here", "there"} {
		for n := range each {
			vm := fmt.Sprint(dataCentre, n)
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, DataCentre: dataCentre, Service: "s"})
			for range 2 {
				env.World.Peers.GetOrAdd(&link.Peer{Hello: wire.Hello{VM: vm, DataCentre: dataCentre}})
			}
		}
	}
	return &memberGossip{Env: env}
}

// TestChangesGoToFewDaemonsOfTheSameDataCentre checks that with two links to each of 60
// daemons, gossipFanout daemons get a change over one link each, whether it is the own
// record or one that was received.
func TestChangesGoToFewDaemonsOfTheSameDataCentre(t *testing.T) {
	s := gossipFleet(60)
	far := &link.Peer{Hello: wire.Hello{VM: "there5", DataCentre: "there"}}
	for _, f := range []tables.MemberChange{
		{Record: wire.Member{VM: "vm", DataCentre: "here"}},
		{Record: wire.Member{VM: "there9", DataCentre: "there"}, From: far},
	} {
		reached := map[string]int{}
		for peer, rows := range s.recordsByPeer([]tables.MemberChange{f}) {
			if peer.Hello.DataCentre == "here" {
				reached[peer.Hello.VM] += len(rows)
			}
		}
		test.MapLen(t, gossipFanout, reached)
	}
}

// TestFewDaemonsSendARowToAnotherDataCentre checks that of sixty daemons with a record of
// their data centre, about gossipRelays send it to another one, and none sends a record
// of another data centre.
func TestFewDaemonsSendARowToAnotherDataCentre(t *testing.T) {
	const daemons, rounds = 60, 200
	s := gossipFleet(daemons)
	near := &link.Peer{Hello: wire.Hello{VM: "here5", DataCentre: "here"}}
	crossed := map[string]int{}
	for range daemons * rounds {
		records := s.recordsByPeer([]tables.MemberChange{
			{Record: wire.Member{VM: "own", DataCentre: "here"}, From: near},
			{Record: wire.Member{VM: "foreign", DataCentre: "there"}, From: near},
		})
		for peer, rows := range records {
			for _, row := range rows {
				if peer.Hello.DataCentre == "there" {
					crossed[row.VM]++
				}
			}
		}
	}
	test.Between(t, rounds*gossipRelays*8/10, crossed["own"], rounds*gossipRelays*12/10)
	test.Eq(t, 0, crossed["foreign"])
}

// regionFleet returns the memberGossip system of a daemon in the data centre a1 of region
// a. The regions a and b have two data centres each. The daemon has links to as many
// daemons of each data centre as each says.
func regionFleet(each int) *memberGossip {
	env := testEnv()
	env.World.DataCentre, env.World.Region = "a1", "a"
	for _, dataCentre := range []string{"a1", "a2", "b1", "b2"} {
		for n := range each {
			vm, region := fmt.Sprint(dataCentre, n), dataCentre[:1]
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, DataCentre: dataCentre, Region: region, Service: "s"})
			env.World.Peers.GetOrAdd(&link.Peer{Hello: wire.Hello{VM: vm, DataCentre: dataCentre, Region: region}})
		}
	}
	return &memberGossip{Env: env}
}

// TestFewDaemonsSendARowToAnotherRegion checks that about gossipRelays daemons send a
// record of their data centre to another region, however many data centres that has. A
// record received from another region goes on to all data centres of the own one, but not
// back.
func TestFewDaemonsSendARowToAnotherRegion(t *testing.T) {
	const daemons, rounds = 20, 300
	s := regionFleet(daemons)
	from := &link.Peer{Hello: wire.Hello{VM: "a15", DataCentre: "a1", Region: "a"}}
	crossed := map[string]int{}
	for range daemons * rounds {
		records := s.recordsByPeer([]tables.MemberChange{
			{Record: wire.Member{VM: "own", DataCentre: "a1", Region: "a"}, From: from},
			{Record: wire.Member{VM: "region", DataCentre: "a2", Region: "a"}, From: from},
			{Record: wire.Member{VM: "other", DataCentre: "b1", Region: "b"}, From: from},
		})
		for peer, rows := range records {
			for _, row := range rows {
				crossed[row.VM+" to "+s.proximityOf(peer).String()]++
			}
		}
	}
	few := func(what string) {
		test.Between(t, rounds*gossipRelays*8/10, crossed[what], rounds*gossipRelays*12/10, test.Sprint(what))
	}
	few("own to region")
	few("own to other")
	few("other to region")
	test.Eq(t, 0, crossed["region to other"], test.Sprint("its own data centre sends it there"))
	test.Eq(t, 0, crossed["region to region"])
	test.Eq(t, 0, crossed["other to other"])
}

// TestEachDaemonOfASmallDataCentreSendsEachRow: the data centre has no more daemons than
// gossipRelays.
func TestEachDaemonOfASmallDataCentreSendsEachRow(t *testing.T) {
	s := gossipFleet(gossipRelays)
	for range 100 {
		sent := 0
		for peer, rows := range s.recordsByPeer([]tables.MemberChange{{Record: wire.Member{VM: "vm", DataCentre: "here"}}}) {
			if peer.Hello.DataCentre == "there" {
				sent += len(rows)
			}
		}
		test.Eq(t, 1, sent)
	}
}

func TestRowIsNotSentBackToItsSource(t *testing.T) {
	from := &link.Peer{Hello: wire.Hello{VM: "a"}}
	otherWay := &link.Peer{Hello: wire.Hello{VM: "a"}}
	changes := []tables.MemberChange{{Record: wire.Member{VM: "x"}, From: from}, {Record: wire.Member{VM: "y"}}}
	test.Len(t, 1, rowsNotFrom(otherWay, changes))
	test.Len(t, 2, rowsNotFrom(&link.Peer{Hello: wire.Hello{VM: "b"}}, changes))
}

// TestChangesWithinTheGossipIntervalAreSentTogether: a single change is sent at once, the
// following ones wait for the end of the interval, and only the newest of each VM is
// sent.
func TestChangesWithinTheGossipIntervalAreSentTogether(t *testing.T) {
	env := testEnv()
	s := &memberGossip{Env: env}
	from := &link.Peer{Hello: wire.Hello{VM: "from"}}
	change := func(vm string, revision uint64) {
		env.World.Members.Merge(1, from, wire.Member{VM: vm, Revision: revision, DataCentre: "here", Service: "s"})
	}
	change("a", 1)
	s.Tick(1, &tables.Mail{})
	test.MapEmpty(t, s.pending, test.Sprint("the first change is sent at once"))
	change("b", 1)
	s.Tick(2, &tables.Mail{})
	change("b", 2)
	change("c", 1)
	s.Tick(3, &tables.Mail{})
	must.MapLen(t, 2, s.pending)
	test.Eq(t, 2, s.pending["b"].Record.Revision)
	s.Tick(1+int64(gossipInterval), &tables.Mail{})
	test.MapEmpty(t, s.pending)
}
