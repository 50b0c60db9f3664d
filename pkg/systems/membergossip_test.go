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

// spreadFleet makes a daemon with two links to each of some others in its own
// data centre and in another one, all of them members.
func spreadFleet(each int) *memberGossip {
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

// TestNewsGoesToAFewDaemonsOfTheOwnDataCentre: with two links to each of 60
// daemons, four daemons are reached, over one link each, be the row the own one
// or one that was heard.
func TestNewsGoesToAFewDaemonsOfTheOwnDataCentre(t *testing.T) {
	s := spreadFleet(60)
	far := &link.Peer{Hello: wire.Hello{VM: "there5", DataCentre: "there"}}
	for _, f := range []tables.MemberChange{
		{Record: wire.Member{VM: "vm", DataCentre: "here"}},
		{Record: wire.Member{VM: "there9", DataCentre: "there"}, From: far},
	} {
		reached := map[string]int{}
		for peer, rows := range s.plan([]tables.MemberChange{f}) {
			if peer.Hello.DataCentre == "here" {
				reached[peer.Hello.VM] += len(rows)
			}
		}
		test.MapLen(t, spreadFanout, reached)
	}
}

// TestARowCrossesIntoAnotherDataCentreAFewTimes: sixty daemons that hear of a
// row of their data centre send it to another one some three times in all, and
// rows of other data centres not at all.
func TestARowCrossesIntoAnotherDataCentreAFewTimes(t *testing.T) {
	const daemons, rounds = 60, 200
	s := spreadFleet(daemons)
	near := &link.Peer{Hello: wire.Hello{VM: "here5", DataCentre: "here"}}
	crossed := map[string]int{}
	for range daemons * rounds {
		plan := s.plan([]tables.MemberChange{
			{Record: wire.Member{VM: "own", DataCentre: "here"}, From: near},
			{Record: wire.Member{VM: "foreign", DataCentre: "there"}, From: near},
		})
		for peer, rows := range plan {
			for _, row := range rows {
				if peer.Hello.DataCentre == "there" {
					crossed[row.VM]++
				}
			}
		}
	}
	test.Between(t, rounds*spreadRelays*8/10, crossed["own"], rounds*spreadRelays*12/10)
	test.Eq(t, 0, crossed["foreign"])
}

// regionFleet makes a daemon of a1, in the region a of two data centres, that has
// links with some daemons of each data centre of the regions a and b.
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

// TestARowCrossesIntoAnotherRegionAFewTimes, however many data centres that has; there
// it goes on to all of them, and not back.
func TestARowCrossesIntoAnotherRegionAFewTimes(t *testing.T) {
	const daemons, rounds = 20, 300
	s := regionFleet(daemons)
	from := &link.Peer{Hello: wire.Hello{VM: "a15", DataCentre: "a1", Region: "a"}}
	crossed := map[string]int{}
	for range daemons * rounds {
		plan := s.plan([]tables.MemberChange{
			{Record: wire.Member{VM: "own", DataCentre: "a1", Region: "a"}, From: from},
			{Record: wire.Member{VM: "region", DataCentre: "a2", Region: "a"}, From: from},
			{Record: wire.Member{VM: "other", DataCentre: "b1", Region: "b"}, From: from},
		})
		for peer, rows := range plan {
			for _, row := range rows {
				crossed[row.VM+" to "+s.proximityOf(peer).String()]++
			}
		}
	}
	few := func(what string) {
		test.Between(t, rounds*spreadRelays*8/10, crossed[what], rounds*spreadRelays*12/10, test.Sprint(what))
	}
	few("own to region")
	few("own to other")
	few("other to region")
	test.Eq(t, 0, crossed["region to other"], test.Sprint("its own data centre sends it there"))
	test.Eq(t, 0, crossed["region to region"])
	test.Eq(t, 0, crossed["other to other"])
}

// TestASmallDataCentreLosesNoRow: where a data centre has no more daemons than
// relays are wanted, each sends each row on.
func TestASmallDataCentreLosesNoRow(t *testing.T) {
	s := spreadFleet(spreadRelays)
	for range 100 {
		sent := 0
		for peer, rows := range s.plan([]tables.MemberChange{{Record: wire.Member{VM: "vm", DataCentre: "here"}}}) {
			if peer.Hello.DataCentre == "there" {
				sent += len(rows)
			}
		}
		test.Eq(t, 1, sent)
	}
}

func TestARowDoesNotGoBackToTheDaemonItCameFrom(t *testing.T) {
	from := &link.Peer{Hello: wire.Hello{VM: "a"}}
	otherWay := &link.Peer{Hello: wire.Hello{VM: "a"}}
	fresh := []tables.MemberChange{{Record: wire.Member{VM: "x"}, From: from}, {Record: wire.Member{VM: "y"}}}
	test.Len(t, 1, rowsNotFrom(otherWay, fresh))
	test.Len(t, 2, rowsNotFrom(&link.Peer{Hello: wire.Hello{VM: "b"}}, fresh))
}

// TestChangesThatComeTogetherGoTogether: a single change is passed on at once,
// those that follow it wait for each other, the newest of each VM.
func TestChangesThatComeTogetherGoTogether(t *testing.T) {
	env := testEnv()
	s := &memberGossip{Env: env}
	from := &link.Peer{Hello: wire.Hello{VM: "from"}}
	change := func(vm string, revision uint64) {
		env.World.Members.Merge(1, from, wire.Member{VM: vm, Revision: revision, DataCentre: "here", Service: "s"})
	}
	change("a", 1)
	s.Tick(1, &tables.Mail{})
	test.MapEmpty(t, s.waiting, test.Sprint("the first one waits for nothing"))
	change("b", 1)
	s.Tick(2, &tables.Mail{})
	change("b", 2)
	change("c", 1)
	s.Tick(3, &tables.Mail{})
	must.MapLen(t, 2, s.waiting)
	test.Eq(t, 2, s.waiting["b"].Record.Revision)
	s.Tick(1+int64(spreadEvery), &tables.Mail{})
	test.MapEmpty(t, s.waiting)
}
