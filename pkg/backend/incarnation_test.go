package backend

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestTheTextOfAnIncarnation(t *testing.T) {
	for text, want := range map[string]Incarnation{
		"i-1": {ID: "i-1"}, "i-1@1760000000000": {ID: "i-1", StartedAtMS: 1760000000000}, "i@x": {ID: "i@x"},
		"i@-4": {ID: "i@-4"}, "i@0": {ID: "i@0"}, "a@b@7": {ID: "a@b", StartedAtMS: 7}, "": {}, "i@9999999999999999999999": {ID: "i@9999999999999999999999"},
	} {
		got := ParseIncarnation(text)
		test.Eq(t, want, got, test.Sprint(text))
		test.Eq(t, text, got.String())
	}
	rapid.Check(t, func(t *rapid.T) {
		in := Incarnation{ID: rapid.StringMatching(`[a-z0-9-]*`).Draw(t, "id"), StartedAtMS: rapid.Int64Range(0, 1<<50).Draw(t, "born")}
		if got := ParseIncarnation(in.String()); got != in {
			t.Fatalf("%v became %v", in, got)
		}
	})
}

// TestALifeThatBeganLaterTakesRequests: its start ends the life before under its id,
// whatever that has said, and its heartbeats are counted anew.
func TestALifeThatBeganLaterTakesRequests(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 40, Version: "v1", ColdFor: time.Second})
	must.True(t, l.RecordHeartbeat(2*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 41, Version: "v1", Leaving: true}))
	expectAccepting(t, l, "")
	l.RecordInstanceID(3*second, "a")
	expectAccepting(t, l, "")
	l.RecordHeartbeat(4*second, Heartbeat{InstanceID: "a", StartedAtMS: 200, Sequence: 1, Version: "v2", ColdFor: 3 * time.Second})
	expectAccepting(t, l, "a@200")
	test.Eq(t, "v2", l.Version())
	test.Eq(t, 7*second, l.ColdPeriod().LatestEnd)
	// A health answer names the id only.
	l.RecordInstanceID(5*second, "a")
	expectAccepting(t, l, "a@200")
}

// TestALateWordOfTheLifeBeforeEndsNothing: from itself, a peer or the store.
func TestALateWordOfTheLifeBeforeEndsNothing(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 40})
	l.RecordHeartbeat(2*second, Heartbeat{InstanceID: "a", StartedAtMS: 200, Sequence: 1})
	must.True(t, l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 41, Leaving: true}))
	expectAccepting(t, l, "a@200")
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 42, Version: "old"})
	expectAccepting(t, l, "a@200")
	must.False(t, l.RecordDeparture(4*second, Incarnation{ID: "a", StartedAtMS: 100}))
	must.False(t, l.RecordDeparture(4*second, Incarnation{ID: "a", StartedAtMS: 50}))
	expectAccepting(t, l, "a@200")
	must.True(t, l.RecordDeparture(5*second, Incarnation{ID: "a", StartedAtMS: 200}))
	expectAccepting(t, l, "")
}

// TestTwoStartsInASecond in whatever order their words come.
func TestTwoStartsInASecond(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 9})
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "a", StartedAtMS: 700, Sequence: 1})
	l.RecordHeartbeat(3, Heartbeat{InstanceID: "a", StartedAtMS: 400, Sequence: 1})
	expectAccepting(t, l, "a@700")
	l.RecordHeartbeat(4, Heartbeat{InstanceID: "a", StartedAtMS: 400, Sequence: 2, Leaving: true})
	expectAccepting(t, l, "a@700")
}

// TestAStartThatGoesBack: the clock was set back before the process started again. It is
// taken for what it is once it has gone on for a while and the other one has not.
func TestAStartThatGoesBack(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(0, Heartbeat{InstanceID: "a", StartedAtMS: 500, Sequence: 9})
	for n := range 4 {
		l.RecordHeartbeat(int64(1+n)*second, Heartbeat{InstanceID: "a", StartedAtMS: 300, Sequence: uint64(1 + n)})
		expectAccepting(t, l, "a@500")
	}
	l.RecordHeartbeat(6*second, Heartbeat{InstanceID: "a", StartedAtMS: 300, Sequence: 5})
	expectAccepting(t, l, "a@300")
	must.True(t, l.RecordHeartbeat(7*second, Heartbeat{InstanceID: "a", StartedAtMS: 300, Sequence: 6, Leaving: true}))
	expectAccepting(t, l, "")
	// While the other one speaks, it stays.
	l = NewLifecycle(true, nil)
	for n := range 20 {
		l.RecordHeartbeat(int64(n)*second, Heartbeat{InstanceID: "a", StartedAtMS: 500, Sequence: uint64(n + 1)})
		l.RecordHeartbeat(int64(n)*second, Heartbeat{InstanceID: "a", StartedAtMS: 300, Sequence: uint64(n + 1)})
		expectAccepting(t, l, "a@500")
	}
}

// TestAWordWithoutAStart is of the life that is current, where it says that this leaves,
// and else tells nothing of one whose start is known.
func TestAWordWithoutAStart(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordInstanceID(1, "a")
	expectAccepting(t, l, "a")
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 1})
	expectAccepting(t, l, "a@100")
	l.RecordHeartbeat(3, Heartbeat{InstanceID: "a", Sequence: 7})
	expectAccepting(t, l, "a@100")
	must.True(t, l.RecordDeparture(4, Incarnation{ID: "a"}))
	expectAccepting(t, l, "")
	l.RecordHeartbeat(5, Heartbeat{InstanceID: "a", StartedAtMS: 200, Sequence: 1})
	expectAccepting(t, l, "a@200")

	// A daemon that knows neither life keeps to a departure until a later one shows itself.
	l = NewLifecycle(true, nil)
	l.RecordDeparture(1, Incarnation{ID: "a", StartedAtMS: 100})
	l.RecordInstanceID(2, "a")
	expectAccepting(t, l, "")
	l.RecordHeartbeat(3, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 50})
	expectAccepting(t, l, "")
	l.RecordHeartbeat(4, Heartbeat{InstanceID: "a", StartedAtMS: 101, Sequence: 1})
	expectAccepting(t, l, "a@101")
	// That of a daemon of the release before is of any life.
	l = NewLifecycle(true, nil)
	l.RecordDeparture(1, Incarnation{ID: "a"})
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 1})
	expectAccepting(t, l, "")
}

// TestALifeUnderAnIdThatWasReplaced: another id was seen at the address in between.
func TestALifeUnderAnIdThatWasReplaced(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 9})
	l.RecordInstanceID(2*second, "b")
	l.RecordHeartbeat(10*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 10})
	expectAccepting(t, l, "b")
	l.RecordHeartbeat(11*second, Heartbeat{InstanceID: "a", StartedAtMS: 300, Sequence: 1})
	expectAccepting(t, l, "a@300")
}

// TestNoLifeThatSaidItLeavesIsUsed, whatever words come in whatever order, while no clock
// is set back.
func TestNoLifeThatSaidItLeavesIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLifecycle(true, nil)
		left := map[Incarnation]bool{}
		now := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			now += rapid.Int64Range(0, second/2).Draw(t, "pause")
			of := Incarnation{ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), StartedAtMS: rapid.Int64Range(1, 3).Draw(t, "born")}
			switch rapid.IntRange(0, 3).Draw(t, "word") {
			case 0:
				l.RecordHeartbeat(now, Heartbeat{InstanceID: of.ID, StartedAtMS: of.StartedAtMS, Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence")})
			case 1:
				l.RecordHeartbeat(now, Heartbeat{InstanceID: of.ID, StartedAtMS: of.StartedAtMS, Sequence: 9, Leaving: true})
				left[of] = true
			case 2:
				l.RecordDeparture(now, of)
				left[of] = true
			case 3:
				l.RecordInstanceID(now, of.ID)
			}
			if current, ok := l.Accepting(); ok && current.StartedAtMS != 0 && left[current] {
				t.Fatalf("%s gets requests", current)
			}
		}
	})
}
