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

// expectAccepting checks which incarnation may get requests; want "": none.
func expectAccepting(t *testing.T, l *Lifecycle, want string) {
	t.Helper()
	got, ok := l.Accepting()
	if want == "" {
		test.False(t, ok)
		return
	}
	test.True(t, ok)
	test.Eq(t, want, got.String())
}

func TestDepartedIncarnationStaysDeparted(t *testing.T) {
	l := NewLifecycle(true, nil)
	expectAccepting(t, l, "")
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", Sequence: 1})
	expectAccepting(t, l, "a")
	must.True(t, l.RecordHeartbeat(2*second, Heartbeat{InstanceID: "a", Sequence: 3, Leaving: true}))
	expectAccepting(t, l, "")
	// A late heartbeat, a new one without the leaving mark, and a health check.
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", Sequence: 2})
	l.RecordHeartbeat(30*second, Heartbeat{InstanceID: "a", Sequence: 4})
	l.RecordGoodHealthCheck(31*second, "a")
	expectAccepting(t, l, "")
	must.False(t, l.RecordDeparture(32*second, Departure{Incarnation: Incarnation{ID: "a"}}))
	l.RecordGoodHealthCheck(33*second, "b")
	expectAccepting(t, l, "")
	l.RecordHeartbeat(34*second, Heartbeat{InstanceID: "b", Sequence: 1})
	expectAccepting(t, l, "b")
}

func TestDepartureBeforeFirstSignOfLife(t *testing.T) {
	l := NewLifecycle(true, nil)
	must.True(t, l.RecordDeparture(1, Departure{Incarnation: Incarnation{ID: "a"}}))
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "a", Sequence: 9})
	l.RecordGoodHealthCheck(3, "a")
	expectAccepting(t, l, "")
}

func TestRestartedDaemonWaitsUntilDeparturesAreKnown(t *testing.T) {
	var states []State
	l := NewLifecycle(false, func(_ Incarnation, s State) { states = append(states, s) })
	l.RecordGoodHealthCheck(1, "a")
	expectAccepting(t, l, "")
	l.RecordDeparturesKnown()
	expectAccepting(t, l, "a")
	test.Len(t, 2, states)
}

func TestLateHeartbeatOfReplacedIncarnationIsIgnored(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "old", Sequence: 7})
	l.RecordGoodHealthCheck(5*second, "new")
	l.RecordHeartbeat(5*second, Heartbeat{InstanceID: "new", Sequence: 1})
	l.RecordHeartbeat(6*second, Heartbeat{InstanceID: "old", Sequence: 8})
	expectAccepting(t, l, "new")
}

func TestReplacementAtTheAddress(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordGoodHealthCheck(1, "a")
	l.RecordReplacement(2, "b")
	expectAccepting(t, l, "")
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "b", Sequence: 1})
	expectAccepting(t, l, "b")
	l.RecordReplacement(3, "")
	expectAccepting(t, l, "")
}

// TestOtherServiceAtTheAddress guards against requests to a process of another service that
// has got the address of an ended backend server.
func TestOtherServiceAtTheAddress(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", Sequence: 1})
	l.RecordProcessEnd(Incarnation{ID: "a"})
	for _, seen := range []func(now int64, id string){l.RecordGoodHealthCheck, l.RecordReplacement, l.RecordOtherService, l.RecordGoodHealthCheck, l.RecordReplacement} {
		seen(5*second, "b")
		expectAccepting(t, l, "")
	}
	// Another writer used the ID: the heartbeats of its owner count.
	l.RecordHeartbeat(6*second, Heartbeat{InstanceID: "b", Sequence: 1})
	expectAccepting(t, l, "b")
	l.RecordOtherService(7*second, "b")
	expectAccepting(t, l, "b")

	// The first instance of a restarted daemon names another service.
	l = newRestartedLifecycle()
	l.RecordGoodHealthCheck(1*second, "c")
	expectAccepting(t, l, "c")
	l.RecordOtherService(2*second, "c")
	l.RecordGoodHealthCheck(3*second, "c")
	expectAccepting(t, l, "")
}

func TestConnectFailuresTakeItDownUntilNextHeartbeat(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordGoodHealthCheck(1, "a")
	l.RecordConnectFailure()
	expectAccepting(t, l, "a")
	l.RecordConnectFailure()
	expectAccepting(t, l, "")
	l.RecordHeartbeat(2, Heartbeat{InstanceID: "a", Sequence: 1})
	expectAccepting(t, l, "a")
}

func TestParseLoadReport(t *testing.T) {
	r, ok := ParseLoadReport("3, 0,12,400")
	must.True(t, ok)
	test.Eq(t, LoadReport{Running: 3, Waiting: 0, Slots: 12, Slowdown: 400}, r)
	r, ok = ParseLoadReport("3,0,8")
	must.True(t, ok)
	test.Eq(t, speed.NormalPercent, r.Slowdown)
	for _, text := range []string{"", "1", "a,b,c", "1,2,-3", "1,2,3,x"} {
		_, ok = ParseLoadReport(text)
		test.False(t, ok, test.Sprint(text))
	}
}

// TestLoadReportsOutOfRangeAreIgnored guards against slots that start all requests at once, and
// slowdowns whose run times overflow.
func TestLoadReportsOutOfRangeAreIgnored(t *testing.T) {
	for _, text := range []string{
		"0,0,2000000000", "0,0,9223372036854775807", "0,0,65536", "0,0,8,9223372036854775807", "0,0,8,100001", "2e9,0,8", "0,0,1e400",
		"0,0,99999999999999999999", "-1,0,8", "NaN,0,8", "0,0,8,Inf",
	} {
		l := &Load{}
		l.Update(1, "0,0,8,200")
		l.Update(2, text)
		test.Eq(t, 8, l.Slots(), test.Sprint(text))
		test.Eq(t, 200, l.Slowdown(), test.Sprint(text))
	}
}

// TestHeartbeatDelayedByNetworkFailureIsIgnored: its sender has crashed and a new
// incarnation was seen at the address, even if that has been silent for a while.
func TestHeartbeatDelayedByNetworkFailureIsIgnored(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "old", Sequence: 1})
	l.RecordGoodHealthCheck(2*second, "new")
	l.RecordCold(2*second, 2*second, "new", 3*time.Second)
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "new", Sequence: 1})
	l.RecordHeartbeat(30*second, Heartbeat{InstanceID: "old", Sequence: 2, ColdFor: 9 * time.Second})
	expectAccepting(t, l, "new")
	test.Eq(t, ColdPeriod{LatestEnd: 5 * second, EarliestEnd: 5 * second, CheckedAt: 2 * second}, l.ColdPeriod())
	l.RecordHeartbeat(31*second, Heartbeat{InstanceID: "old", Sequence: 3, Leaving: true})
	expectAccepting(t, l, "new")
	l.RecordHeartbeat(32*second, Heartbeat{InstanceID: "next", Sequence: 1})
	expectAccepting(t, l, "next")
}

// TestColdPeriod: health checks take precedence over heartbeats, which may be late, and
// a new incarnation starts without a cold period.
func TestColdPeriod(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", Sequence: 1, ColdFor: 3 * time.Second})
	test.Eq(t, ColdPeriod{LatestEnd: 4 * second, EarliestEnd: 4 * second, FromHeartbeat: true}, l.ColdPeriod())
	l.RecordCold(2*second, 2*second, "a", time.Second)
	test.Eq(t, ColdPeriod{LatestEnd: 3 * second, EarliestEnd: 3 * second, CheckedAt: 2 * second}, l.ColdPeriod())
	l.RecordCold(2*second, 2*second, "other", 9*time.Second)
	test.Eq(t, 3*second, l.ColdPeriod().LatestEnd)
	// It becomes cold again, as when the evacuation of its data centre ends.
	l.RecordCold(20*second, 20*second, "a", 3*time.Second)
	test.Eq(t, 23*second, l.ColdPeriod().LatestEnd)
	l.RecordGoodHealthCheck(21*second, "b")
	test.Eq(t, ColdPeriod{}, l.ColdPeriod())
}

// TestInvalidColdTimesAreCapped covers the header and heartbeats.
func TestInvalidColdTimesAreCapped(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordGoodHealthCheck(1*second, "a")
	for text, want := range map[string]int64{"1e300": 0, "NaN": 0, "-5": 0, "": 0, "x": 0, "3000": 3 * second, "99999999": int64(maxColdTime)} {
		l.RecordCold(2*second, 2*second, "a", parseColdFor(text))
		test.Eq(t, 2*second+want, l.ColdPeriod().LatestEnd, test.Sprint(text))
	}
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", Sequence: 1, ColdFor: 1 << 62})
	test.Eq(t, 3*second+int64(maxColdTime), l.ColdPeriod().LatestEnd)
}

// TestSlowHealthCheckWidensColdPeriod: the reported time left was true at some time
// between the request and the response.
func TestSlowHealthCheckWidensColdPeriod(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordGoodHealthCheck(1*second, "a")
	l.RecordCold(2*second, 3*second, "a", 2*time.Second)
	test.Eq(t, ColdPeriod{LatestEnd: 5 * second, EarliestEnd: 4 * second, CheckedAt: 2 * second}, l.ColdPeriod())
}

// TestVersionIsThatOfCurrentIncarnation: a health check may reveal a new incarnation
// before its first heartbeat, and late heartbeats of the previous one change nothing.
func TestVersionIsThatOfCurrentIncarnation(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1, Heartbeat{InstanceID: "a", Sequence: 1, Version: "v1"})
	test.Eq(t, "v1", l.Version())
	l.RecordGoodHealthCheck(2, "b")
	test.Eq(t, "", l.Version())
	l.RecordHeartbeat(3, Heartbeat{InstanceID: "a", Sequence: 2, Version: "v1"})
	test.Eq(t, "", l.Version())
	l.RecordHeartbeat(4, Heartbeat{InstanceID: "b", Sequence: 1, Version: "v2"})
	test.Eq(t, "v2", l.Version())
	for n := range 3 * maxHistories {
		l.RecordHeartbeat(5, Heartbeat{InstanceID: fmt.Sprint("late", n), Sequence: 1, Version: "v1"})
	}
	test.Eq(t, "v2", l.Version())
	test.LessEq(t, maxHistories, len(l.histories))
}
