package systems

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/retries"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newTestSlack returns the system of the daemon on vm, which knows all members, in data centres
// of equal size.
func newTestSlack(vm string, members, dataCentres int, firstStart bool) *retrySlack {
	env := testEnv()
	env.World.VM, env.Settings.VM.ID = vm, vm
	env.Settings.Platform.FirstStart = firstStart
	env.Retries = retries.NewPool(10*time.Second, !firstStart, func() float64 { return 0 })
	for n := range members {
		name := fmt.Sprint("m", n)
		dataCentre := fmt.Sprint("dc", n%dataCentres)
		if name == vm {
			env.Settings.VM.DataCentre = dataCentre
		}
		env.World.Members.Merge(1, nil, wire.Member{VM: name, DataCentre: dataCentre, Service: "s", Incarnation: 1})
	}
	return newRetrySlack(env)
}

var wholeListMail = &tables.Mail{VMList: &tables.VMList{}}

// TestAllDaemonsTogetherHoldNoMoreThanTheSlack, and each that shares it asks one of its data
// centre that holds some.
func TestAllDaemonsTogetherHoldNoMoreThanTheSlack(t *testing.T) {
	for _, size := range []struct{ members, dataCentres int }{{60, 2}, {100, 1}, {300, 5}, {600, 30}} {
		held, holders := 0, map[string]bool{}
		asked := map[string]bool{}
		for n := range size.members {
			s := newTestSlack(fmt.Sprint("m", n), size.members, size.dataCentres, true)
			s.Tick(int64(5*time.Second), &tables.Mail{})
			test.Eq(t, size.members, s.World.View.RetryDaemons())
			if mine := s.Retries.Held(retries.Routed); mine > 0 {
				held += mine
				holders[s.World.VM] = true
			}
			holder := s.byClass[retries.Routed].holder
			must.NotNil(t, holder)
			test.Eq(t, s.Settings.VM.DataCentre, holder.DataCentre)
			test.Eq(t, holder.VM != s.World.VM, slices.Contains(s.World.RetryHolders, holder))
			asked[holder.VM] = true
		}
		slack := testEnv().Settings.Routing.RetrySlack
		t.Logf("%+v: %d of %d held by %d daemons", size, held, slack, len(holders))
		test.LessEq(t, slack, held)
		test.GreaterEq(t, slack/2, held)
		for vm := range holders {
			test.True(t, asked[vm])
		}
	}
}

// TestGroupsWithoutSlackAskNobody: the slack is less than one retry for each data centre.
func TestGroupsWithoutSlackAskNobody(t *testing.T) {
	const members, dataCentres = 400, 200
	held, without := 0, 0
	for n := range members {
		s := newTestSlack(fmt.Sprint("m", n), members, dataCentres, true)
		s.Tick(int64(5*time.Second), &tables.Mail{})
		held += s.Retries.Held(retries.Routed)
		if s.byClass[retries.Routed].holder == nil {
			without++
		}
	}
	t.Logf("%d held, %d of %d daemons have no holder", held, without, members)
	test.Between(t, 20, held, 50)
	test.Eq(t, members-2*held, without)
}

// TestSlackOfSmallFleetsIsNotGranted: each daemon has its own part.
func TestSlackOfSmallFleetsIsNotGranted(t *testing.T) {
	s := newTestSlack("m0", 13, 3, true)
	s.Tick(int64(5*time.Second), &tables.Mail{})
	test.Eq(t, 13, s.World.View.RetryDaemons())
	test.Eq(t, 0, s.Retries.Held(retries.Routed))
	test.SliceEmpty(t, s.World.RetryHolders)
}

// TestTheNumberOfDaemonsIsKnownLate: not before the list was read, or a window has passed with
// links. It does not fall at once with the table of members.
func TestTheNumberOfDaemonsIsKnownLate(t *testing.T) {
	s := newTestSlack("m0", 13, 1, false)
	s.Tick(int64(time.Second), &tables.Mail{})
	s.Tick(int64(20*time.Second), &tables.Mail{})
	test.Eq(t, 0, s.World.View.RetryDaemons(), test.Sprint("no link"))
	s.World.Peers.GetOrAdd(&link.Peer{Conn: link.NewClosedConn(), Hello: wire.Hello{VM: "m1"}})
	s.Tick(int64(21*time.Second), &tables.Mail{})
	test.Eq(t, 13, s.World.View.RetryDaemons())

	s = newTestSlack("m0", 13, 1, false)
	s.Tick(int64(time.Second), &tables.Mail{VMList: &tables.VMList{DataCentre: "dc0"}})
	test.Eq(t, 0, s.World.View.RetryDaemons(), test.Sprint("the list of one data centre is not enough"))
	s.Tick(int64(2*time.Second), wholeListMail)
	test.Eq(t, 13, s.World.View.RetryDaemons())
	s.World.Members.Merge(int64(3*time.Second), nil, wire.Member{VM: "m12", DataCentre: "dc0", Service: "s", Incarnation: 1, State: wire.MemberGone})
	s.Tick(int64(9*time.Second), &tables.Mail{})
	test.Eq(t, 13, s.World.View.RetryDaemons())
	s.Tick(int64(11*time.Second), &tables.Mail{})
	test.Eq(t, 13, s.World.View.RetryDaemons())
	s.Tick(int64(22*time.Second), &tables.Mail{})
	test.Eq(t, 12, s.World.View.RetryDaemons())
}

// TestTheNextHolderWaitsForOneWindow: the one before it may have granted the slack, and so may
// an earlier process of this daemon.
func TestTheNextHolderWaitsForOneWindow(t *testing.T) {
	const members = 60
	held := func(s *retrySlack, at time.Duration) int {
		s.Tick(int64(at), wholeListMail)
		return s.Retries.Held(retries.Routed)
	}
	var next *retrySlack
	first := newTestSlack("m0", members, 1, true)
	first.Tick(int64(5*time.Second), wholeListMail)
	leaving := wire.Member{VM: first.byClass[retries.Routed].holder.VM, DataCentre: "dc0", Service: "s", Incarnation: 1, State: wire.MemberLeaving}
	for n := range members {
		s := newTestSlack(fmt.Sprint("m", n), members, 1, true)
		if held(s, 5*time.Second) > 0 {
			test.Eq(t, leaving.VM, s.World.VM)
		}
		s.World.Members.Merge(int64(30*time.Second), nil, leaving)
		test.Eq(t, 0, held(s, 31*time.Second))
		if s.byClass[retries.Routed].held > 0 {
			must.Nil(t, next)
			next = s
		}
	}
	must.NotNil(t, next)
	test.NotEq(t, leaving.VM, next.World.VM)
	test.Eq(t, 0, held(next, 40*time.Second))
	test.Positive(t, held(next, 41*time.Second+time.Second/2))

	restarted := newTestSlack(leaving.VM, members, 1, false)
	test.Eq(t, 0, held(restarted, time.Second))
	test.Eq(t, 0, held(restarted, 10*time.Second))
	test.Positive(t, held(restarted, 12*time.Second))
}

// TestAsksGoToPeersThatAnswerThem: a daemon of the release before answers none.
func TestAsksGoToPeersThatAnswerThem(t *testing.T) {
	s := newTestSlack("m0", 60, 1, true)
	s.Tick(int64(5*time.Second), wholeListMail)
	holder := s.byClass[retries.Routed].holder
	hello := wire.Hello{VM: holder.VM, Incarnation: 1}
	s.World.Peers.GetOrAdd(&link.Peer{Conn: link.NewClosedConn(), Hello: hello})
	s.Tick(int64(7*time.Second), &tables.Mail{})
	test.False(t, s.Retries.CanTake(1, retries.Routed, "s"))
	hello.Features = wire.FeatureRetries
	s.World.Peers.GetOrAdd(&link.Peer{Conn: link.NewClosedConn(), Hello: hello})
	s.Tick(int64(9*time.Second), &tables.Mail{})
	test.True(t, s.Retries.CanTake(1, retries.Routed, "s"))
}
