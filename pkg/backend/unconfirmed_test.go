package backend

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func newRestartedLifecycle() *Lifecycle {
	l := NewLifecycle(false, nil)
	l.RecordDeparturesKnown()
	return l
}

func expectState(t *testing.T, l *Lifecycle, expected State) {
	t.Helper()
	_, state := l.Current()
	test.Eq(t, expected, state)
	_, ok := l.Accepting()
	test.Eq(t, expected == Live, ok)
}

// TestRestartedDaemonDoesNotTrustALateHeartbeat guards against requests to a backend server
// whose departure only an earlier process of the daemon knew.
func TestRestartedDaemonDoesNotTrustALateHeartbeat(t *testing.T) {
	l := newRestartedLifecycle()
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 7})
	expectState(t, l, Unconfirmed)
	l.RecordAnswer(2 * second)
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 8})
	expectState(t, l, Unconfirmed)
	l.RecordReplacement(4*second, "b")
	expectState(t, l, Unconfirmed)
	test.True(t, l.RecordDeparture(5*second, Departure{Incarnation: Incarnation{ID: "b"}, StartedByMS: 5000, Source: FromDeregistration}))
	expectState(t, l, Leaving)
	l.RecordGoodHealthCheck(6*second, "b")
	expectState(t, l, Leaving)
}

// TestGoodHealthCheckConfirmsTheInstanceID also for its later processes and after failures to
// connect, so that a well backend server gets requests at its next sign of life.
func TestGoodHealthCheckConfirmsTheInstanceID(t *testing.T) {
	l := newRestartedLifecycle()
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 1})
	l.RecordGoodHealthCheck(1*second, "a")
	expectState(t, l, Live)
	for range connectFailuresUntilDown {
		l.RecordConnectFailure()
	}
	expectState(t, l, Down)
	l.RecordHeartbeat(2*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 2})
	expectState(t, l, Live)
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", StartedAtMS: 2500, Sequence: 1})
	expectState(t, l, Live)
	l.RecordHeartbeat(6*second, Heartbeat{InstanceID: "b", StartedAtMS: 5500, Sequence: 1})
	expectState(t, l, Unconfirmed)
	l.RecordGoodHealthCheck(6*second, "b")
	expectState(t, l, Live)
}

// TestHeartbeatsSentAfterTheStartConfirm: a backend server whose health path fails gets
// requests again once its heartbeats cannot be late.
func TestHeartbeatsSentAfterTheStartConfirm(t *testing.T) {
	const late = int64(maxHeartbeatDelay)
	l := newRestartedLifecycle()
	l.RecordHeartbeat(late-3*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 1})
	l.RecordHeartbeat(late, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 2})
	expectState(t, l, Unconfirmed)
	l.RecordHeartbeat(late+1, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 2})
	expectState(t, l, Unconfirmed)
	l.RecordHeartbeat(late+1, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 3})
	expectState(t, l, Live)

	l = newRestartedLifecycle()
	l.RecordHeartbeat(2*late, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 1})
	expectState(t, l, Unconfirmed)
	l.RecordHeartbeat(2*late+3*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 2})
	expectState(t, l, Live)
}

// TestDepartureOfAnEarlierDaemonProcessHolds draws messages to a restarted daemon that nobody
// tells of the departures that its earlier process has acknowledged. Heartbeats are under way
// for up to maxHeartbeatDelay, and a process that has left passes no health check.
func TestDepartureOfAnEarlierDaemonProcessHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Times are milliseconds since the start of the daemon.
		const daemonStartMS = 1_000_000
		delayMS := maxHeartbeatDelay.Milliseconds()
		l := newRestartedLifecycle()
		process, left := Incarnation{ID: "a", StartedAtMS: 500}, rapid.Bool().Draw(t, "left before")
		at, leftAt := int64(0), int64(0)
		for sequence := uint64(1); sequence < 40; sequence++ {
			at += rapid.Int64Range(0, 2000).Draw(t, "after")
			now := at * 1_000_000
			switch rapid.SampledFrom([]string{"heartbeat", "health", "new process", "leave", "421"}).Draw(t, "message") {
			case "heartbeat":
				if left && at-leftAt > delayMS {
					continue
				}
				l.RecordHeartbeat(now, Heartbeat{InstanceID: process.ID, StartedAtMS: process.StartedAtMS, Sequence: sequence, ReceivedAtMS: daemonStartMS + at})
			case "health":
				if !left {
					l.RecordGoodHealthCheck(now, process.ID)
					_, ok := l.Accepting()
					must.True(t, ok, must.Sprint("a good health check makes it live"))
				}
			case "421":
				l.RecordReplacement(now, process.ID)
			case "new process":
				// Two processes of an ID do not start in the same millisecond.
				at++
				now = at * 1_000_000
				process, left = Incarnation{ID: process.ID, StartedAtMS: daemonStartMS + at}, false
				l.RecordHeartbeat(now, Heartbeat{InstanceID: process.ID, StartedAtMS: process.StartedAtMS, Sequence: sequence, ReceivedAtMS: daemonStartMS + at})
			case "leave":
				l.RecordDeparture(now, Departure{Incarnation: process, StartedByMS: daemonStartMS + at, Source: FromDeregistration})
				left, leftAt = true, at
			}
			if current, ok := l.Accepting(); ok && left && current.mayEqual(process) {
				t.Fatalf("%s has left and gets requests", current)
			}
		}
	})
}
