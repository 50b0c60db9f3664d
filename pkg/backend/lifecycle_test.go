package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/speed"
)

const second = int64(time.Second)

func accepting(t *testing.T, l *Lifecycle, want string) {
	t.Helper()
	got, ok := l.Accepting()
	if want == "" {
		test.False(t, ok)
		return
	}
	test.True(t, ok)
	test.Eq(t, want, got.String())
}

func TestAnIncarnationThatSaidItLeavesGetsNothingMore(t *testing.T) {
	l := NewLifecycle(true, nil)
	accepting(t, l, "")
	l.Heartbeat(1*second, Heartbeat{Instance: "a", Sequence: 1})
	accepting(t, l, "a")
	must.True(t, l.Heartbeat(2*second, Heartbeat{Instance: "a", Sequence: 3, Leaving: true}))
	accepting(t, l, "")
	// A heartbeat that was sent before, and a health answer that misleads.
	l.Heartbeat(3*second, Heartbeat{Instance: "a", Sequence: 2})
	l.Heartbeat(30*second, Heartbeat{Instance: "a", Sequence: 4})
	l.Seen(31*second, "a")
	accepting(t, l, "")
	must.False(t, l.Depart(32*second, Incarnation{ID: "a"}))
	l.Seen(33*second, "b")
	accepting(t, l, "b")
}

func TestADepartureIsBindingBeforeTheIncarnationIsSeen(t *testing.T) {
	l := NewLifecycle(true, nil)
	must.True(t, l.Depart(1, Incarnation{ID: "a"}))
	l.Heartbeat(2, Heartbeat{Instance: "a", Sequence: 9})
	l.Seen(3, "a")
	accepting(t, l, "")
}

func TestARestartedDaemonWaitsUntilItIsInformed(t *testing.T) {
	var told []State
	l := NewLifecycle(false, func(_ Incarnation, s State) { told = append(told, s) })
	l.Seen(1, "a")
	accepting(t, l, "")
	l.Informed()
	accepting(t, l, "a")
	test.Len(t, 2, told)
}

func TestALateHeartbeatOfAnOlderIncarnationChangesNothing(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.Heartbeat(1*second, Heartbeat{Instance: "old", Sequence: 7})
	l.Seen(5*second, "new")
	l.Heartbeat(6*second, Heartbeat{Instance: "old", Sequence: 8})
	accepting(t, l, "new")
}

func TestAnotherIncarnationAtTheAddress(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.Seen(1, "a")
	l.Replaced(2, "b")
	accepting(t, l, "b")
	l.Replaced(3, "")
	accepting(t, l, "")
}

func TestRefusedConnectionsTakeItDownUntilItShowsItself(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.Seen(1, "a")
	l.Unreachable()
	accepting(t, l, "a")
	l.Unreachable()
	accepting(t, l, "")
	l.Heartbeat(2, Heartbeat{Instance: "a", Sequence: 1})
	accepting(t, l, "a")
}

func TestReports(t *testing.T) {
	r, ok := ParseReport("3, 0,12,400")
	must.True(t, ok)
	test.Eq(t, Report{Running: 3, Waiting: 0, Slots: 12, Slowdown: 400}, r)
	r, ok = ParseReport("3,0,8")
	must.True(t, ok)
	test.Eq(t, speed.NormalPercent, r.Slowdown)
	for _, text := range []string{"", "1", "a,b,c", "1,2,-3", "1,2,3,x"} {
		_, ok = ParseReport(text)
		test.False(t, ok, test.Sprint(text))
	}
}

// TestAHeartbeatThatACutHeldBackChangesNothing: its sender has crashed, and a new
// incarnation was seen at the address, which may be silent for a while itself.
func TestAHeartbeatThatACutHeldBackChangesNothing(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.Heartbeat(1*second, Heartbeat{Instance: "old", Sequence: 1})
	l.Seen(2*second, "new")
	l.TakeCold(2*second, 2*second, "new", 3*time.Second)
	l.Heartbeat(30*second, Heartbeat{Instance: "old", Sequence: 2, ColdFor: 9 * time.Second})
	accepting(t, l, "new")
	test.Eq(t, Cold{Till: 5 * second, TillLeast: 5 * second, ToldAt: 2 * second}, l.Cold())
	l.Heartbeat(31*second, Heartbeat{Instance: "old", Sequence: 3, Leaving: true})
	accepting(t, l, "new")
	l.Heartbeat(32*second, Heartbeat{Instance: "next", Sequence: 1})
	accepting(t, l, "next")
}

// TestHowLongABackendServerIsCold: its health path goes before heartbeats, which
// may be late, and each incarnation counts by itself.
func TestHowLongABackendServerIsCold(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.Heartbeat(1*second, Heartbeat{Instance: "a", Sequence: 1, ColdFor: 3 * time.Second})
	test.Eq(t, Cold{Till: 4 * second, TillLeast: 4 * second, ByHeartbeat: true}, l.Cold())
	l.TakeCold(2*second, 2*second, "a", time.Second)
	test.Eq(t, Cold{Till: 3 * second, TillLeast: 3 * second, ToldAt: 2 * second}, l.Cold())
	l.TakeCold(2*second, 2*second, "other", 9*time.Second)
	test.Eq(t, 3*second, l.Cold().Till)
	// Cold again, as after its data centre was taken back.
	l.TakeCold(20*second, 20*second, "a", 3*time.Second)
	test.Eq(t, 23*second, l.Cold().Till)
	l.Seen(21*second, "b")
	test.Eq(t, Cold{}, l.Cold())
}

// TestAWrongWordOnBeingColdIsBounded: the text of a header or heartbeat may hold
// anything.
func TestAWrongWordOnBeingColdIsBounded(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.Seen(1*second, "a")
	for text, want := range map[string]int64{"1e300": 0, "NaN": 0, "-5": 0, "": 0, "x": 0, "3000": 3 * second, "99999999": int64(longestCold)} {
		l.TakeCold(2*second, 2*second, "a", coldFor(text))
		test.Eq(t, 2*second+want, l.Cold().Till, test.Sprint(text))
	}
	l.Heartbeat(3*second, Heartbeat{Instance: "a", Sequence: 1, ColdFor: 1 << 62})
	test.Eq(t, 3*second+int64(longestCold), l.Cold().Till)
}

// TestAnAnswerThatWasOnItsWayForLong: what it says held at some time since the
// question, so that the backend server may have been cold, or become so, since then.
func TestAnAnswerThatWasOnItsWayForLong(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.Seen(1*second, "a")
	l.TakeCold(2*second, 3*second, "a", 2*time.Second)
	test.Eq(t, Cold{Till: 5 * second, TillLeast: 4 * second, ToldAt: 2 * second}, l.Cold())
}

// TestTheVersionIsThatOfTheCurrentIncarnation: its health path may show it before its
// first heartbeat, and a late heartbeat of the one before changes nothing.
func TestTheVersionIsThatOfTheCurrentIncarnation(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.Heartbeat(1, Heartbeat{Instance: "a", Sequence: 1, Version: "v1"})
	test.Eq(t, "v1", l.Version())
	l.Seen(2, "b")
	test.Eq(t, "", l.Version())
	l.Heartbeat(3, Heartbeat{Instance: "a", Sequence: 2, Version: "v1"})
	test.Eq(t, "", l.Version())
	l.Heartbeat(4, Heartbeat{Instance: "b", Sequence: 1, Version: "v2"})
	test.Eq(t, "v2", l.Version())
	for n := range 3 * mostLives {
		l.Heartbeat(5, Heartbeat{Instance: fmt.Sprint("late", n), Sequence: 1, Version: "v1"})
	}
	test.Eq(t, "v2", l.Version())
	test.LessEq(t, mostLives, len(l.lives))
}
