package backend

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestIncarnationText(t *testing.T) {
	for text, want := range map[string]Incarnation{
		"i-1": {ID: "i-1"}, "i-1@1760000000000": {ID: "i-1", StartedAtMS: 1760000000000}, "i@x": {ID: "i@x"},
		"i@-4": {ID: "i@-4"}, "i@0": {ID: "i@0"}, "a@b@7": {ID: "a@b", StartedAtMS: 7}, "": {}, "i@9999999999999999999999": {ID: "i@9999999999999999999999"},
	} {
		got := ParseIncarnation(text)
		test.Eq(t, want, got, test.Sprint(text))
		test.Eq(t, text, got.String())
	}
	rapid.Check(t, func(t *rapid.T) {
		in := Incarnation{ID: rapid.StringMatching(`[a-z0-9-]*`).Draw(t, "id"), StartedAtMS: rapid.Int64Range(0, 1<<50).Draw(t, "startedAtMS")}
		if got := ParseIncarnation(in.String()); got != in {
			t.Fatalf("parsed the text of %v as %v", in, got)
		}
	})
}

// TestLaterStartReplacesIncarnation: a heartbeat with the same ID and a later start time
// makes its sender current, even after a departure, and starts a new sequence.
func TestLaterStartReplacesIncarnation(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 40, Version: "v1", ColdFor: time.Second})
	must.True(t, l.RecordHeartbeat(2*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 41, Version: "v1", Leaving: true}))
	expectAccepting(t, l, "")
	l.RecordGoodHealthCheck(3*second, "a")
	expectAccepting(t, l, "")
	l.RecordHeartbeat(4*second, Heartbeat{InstanceID: "a", StartedAtMS: 200, Sequence: 1, Version: "v2", ColdFor: 3 * time.Second})
	expectAccepting(t, l, "a@200")
	test.Eq(t, "v2", l.Version())
	test.Eq(t, 7*second, l.ColdPeriod().LatestEnd)
	// A health check names the ID only.
	l.RecordGoodHealthCheck(5*second, "a")
	expectAccepting(t, l, "a@200")
}

// TestLateMessagesOfPreviousIncarnationAreIgnored covers heartbeats and departures.
func TestLateMessagesOfPreviousIncarnationAreIgnored(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 40})
	l.RecordHeartbeat(2*second, Heartbeat{InstanceID: "a", StartedAtMS: 200, Sequence: 1})
	must.True(t, l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 41, Leaving: true}))
	expectAccepting(t, l, "a@200")
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 42, Version: "old"})
	expectAccepting(t, l, "a@200")
	must.False(t, l.RecordDeparture(4*second, Departure{Incarnation: Incarnation{ID: "a", StartedAtMS: 100}}))
	must.False(t, l.RecordDeparture(4*second, Departure{Incarnation: Incarnation{ID: "a", StartedAtMS: 50}}))
	expectAccepting(t, l, "a@200")
	must.True(t, l.RecordDeparture(5*second, Departure{Incarnation: Incarnation{ID: "a", StartedAtMS: 200}}))
	expectAccepting(t, l, "")
}

// TestTwoRestartsWithHeartbeatsOutOfOrder: the process started at 400 was replaced by
// that of 700 before its first heartbeat arrived.
func TestTwoRestartsWithHeartbeatsOutOfOrder(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 9})
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "a", StartedAtMS: 700, Sequence: 1})
	l.RecordHeartbeat(3, Heartbeat{InstanceID: "a", StartedAtMS: 400, Sequence: 1})
	expectAccepting(t, l, "a@700")
	l.RecordHeartbeat(4, Heartbeat{InstanceID: "a", StartedAtMS: 400, Sequence: 2, Leaving: true})
	expectAccepting(t, l, "a@700")
}

// TestStartTimeThatGoesBack: the clock was set back before the process was restarted. The
// new process becomes current once the old one has sent no heartbeat for a while.
func TestStartTimeThatGoesBack(t *testing.T) {
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
	// While both send heartbeats, the one with the later start time stays current.
	l = NewLifecycle(true, nil)
	for n := range 20 {
		l.RecordHeartbeat(int64(n)*second, Heartbeat{InstanceID: "a", StartedAtMS: 500, Sequence: uint64(n + 1)})
		l.RecordHeartbeat(int64(n)*second, Heartbeat{InstanceID: "a", StartedAtMS: 300, Sequence: uint64(n + 1)})
		expectAccepting(t, l, "a@500")
	}
}

// TestMessagesWithoutStartTime: a departure without a start time is that of the current
// incarnation. A heartbeat without one does not erase the known start time.
func TestMessagesWithoutStartTime(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordGoodHealthCheck(1, "a")
	expectAccepting(t, l, "a")
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 1})
	expectAccepting(t, l, "a@100")
	l.RecordHeartbeat(3, Heartbeat{InstanceID: "a", Sequence: 7})
	expectAccepting(t, l, "a@100")
	must.True(t, l.RecordDeparture(4, Departure{Incarnation: Incarnation{ID: "a"}}))
	expectAccepting(t, l, "")
	l.RecordHeartbeat(5, Heartbeat{InstanceID: "a", StartedAtMS: 200, Sequence: 1})
	expectAccepting(t, l, "a@200")

	// A departure of an unknown incarnation holds until one with a later start is seen.
	l = NewLifecycle(true, nil)
	l.RecordDeparture(1, Departure{Incarnation: Incarnation{ID: "a", StartedAtMS: 100}})
	l.RecordGoodHealthCheck(2, "a")
	expectAccepting(t, l, "")
	l.RecordHeartbeat(3, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 50})
	expectAccepting(t, l, "")
	l.RecordHeartbeat(4, Heartbeat{InstanceID: "a", StartedAtMS: 101, Sequence: 1})
	expectAccepting(t, l, "a@101")
	// A departure from a daemon of the previous release has no start time: it holds for any.
	l = NewLifecycle(true, nil)
	l.RecordDeparture(1, Departure{Incarnation: Incarnation{ID: "a"}})
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 1})
	expectAccepting(t, l, "")
}

// TestReplacedInstanceIDReturnsWithLaterStart: another ID was seen at the address in
// between.
func TestReplacedInstanceIDReturnsWithLaterStart(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 9})
	l.RecordGoodHealthCheck(2*second, "b")
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "b", StartedAtMS: 150, Sequence: 1})
	l.RecordHeartbeat(10*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 10})
	expectAccepting(t, l, "b@150")
	l.RecordHeartbeat(11*second, Heartbeat{InstanceID: "a", StartedAtMS: 300, Sequence: 1})
	expectAccepting(t, l, "a@300")
}

// TestDepartedIncarnationsGetNoRequests, whatever messages arrive in whatever order, as
// long as no clock is set back.
func TestDepartedIncarnationsGetNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLifecycle(true, nil)
		departed := map[Incarnation]bool{}
		now := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			now += rapid.Int64Range(0, second/2).Draw(t, "pause")
			incarnation := Incarnation{ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), StartedAtMS: rapid.Int64Range(1, 3).Draw(t, "startedAtMS")}
			switch rapid.IntRange(0, 3).Draw(t, "message") {
			case 0:
				l.RecordHeartbeat(now, Heartbeat{InstanceID: incarnation.ID, StartedAtMS: incarnation.StartedAtMS, Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence")})
			case 1:
				l.RecordHeartbeat(now, Heartbeat{InstanceID: incarnation.ID, StartedAtMS: incarnation.StartedAtMS, Sequence: 9, Leaving: true})
				departed[incarnation] = true
			case 2:
				l.RecordDeparture(now, Departure{Incarnation: incarnation})
				departed[incarnation] = true
			case 3:
				l.RecordGoodHealthCheck(now, incarnation.ID)
			}
			if current, ok := l.Accepting(); ok && current.StartedAtMS != 0 && departed[current] {
				t.Fatalf("departed incarnation %s gets requests", current)
			}
		}
	})
}

// TestReplacedInstanceIDWithoutStartTimeReturns: nothing was known of the process but its ID
// when another one was seen at the address. The next health check lets the ID return.
func TestReplacedInstanceIDWithoutStartTimeReturns(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordGoodHealthCheck(1*second, "a")
	l.RecordGoodHealthCheck(2*second, "b")
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "b", StartedAtMS: 150, Sequence: 1})
	l.RecordHeartbeat(10*second, Heartbeat{InstanceID: "a", StartedAtMS: 300, Sequence: 1})
	expectAccepting(t, l, "b@150")
	l.RecordGoodHealthCheck(11*second, "a")
	expectAccepting(t, l, "a@300")
}
