package backend

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// leaveInResponse is a departure in a response, of a process that had started by startedByMS.
func leaveInResponse(startedByMS int64) Departure {
	return Departure{Incarnation: Incarnation{ID: "a"}, StartedByMS: startedByMS, Source: FromResponse}
}

// TestDepartureWithoutStartTimeEndsWithItsProcess guards against a departure in a response
// that is recorded before the first heartbeat, and that also applies to later processes.
func TestDepartureWithoutStartTimeEndsWithItsProcess(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordGoodHealthCheck(1*second, "a")
	must.True(t, l.RecordDeparture(2*second, leaveInResponse(150)))
	must.False(t, l.RecordDeparture(3*second, leaveInResponse(160)), must.Sprint("each response repeats it"))
	test.Eq(t, "a@150", l.RecordedDeparture("a").String())
	expectAccepting(t, l, "")
	l.RecordHeartbeat(4*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 9})
	expectAccepting(t, l, "")
	age, source, ok := l.CurrentDeparture(5 * second)
	must.True(t, ok)
	test.Eq(t, FromResponse, source)
	test.Eq(t, 3*second, int64(age))
	l.RecordHeartbeat(6*second, Heartbeat{InstanceID: "a", StartedAtMS: 200, Sequence: 1})
	expectAccepting(t, l, "a@200")
	_, _, ok = l.CurrentDeparture(6 * second)
	test.False(t, ok)

	// A response that was on the way while the process was replaced.
	must.False(t, l.RecordDeparture(7*second, leaveInResponse(170)))
	expectAccepting(t, l, "a@200")
	must.True(t, l.RecordDeparture(8*second, leaveInResponse(210)), must.Sprint("the current process leaves"))
	test.Eq(t, "a@200", l.RecordedDeparture("a").String())
	expectAccepting(t, l, "")
}

// TestReportedDepartureWithoutStartTime: daemons of the previous release tell and store
// departures without a start time. They apply to processes that were running when the daemon
// started, not to later ones.
func TestReportedDepartureWithoutStartTime(t *testing.T) {
	reported := Departure{Incarnation: Incarnation{ID: "a"}, StartedByMS: 150, Source: FromPeer}
	l := NewLifecycle(true, nil)
	must.True(t, l.RecordDeparture(1*second, reported))
	l.RecordHeartbeat(2*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 9})
	expectAccepting(t, l, "")
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", StartedAtMS: 200, Sequence: 1})
	expectAccepting(t, l, "a@200")
	must.False(t, l.RecordDeparture(4*second, reported))
	expectAccepting(t, l, "a@200")

	l = NewLifecycle(true, nil)
	l.RecordDeparture(1*second, Departure{Incarnation: Incarnation{ID: "a", StartedAtMS: 50}, Source: FromStore})
	must.False(t, l.RecordDeparture(2*second, reported), must.Sprint("the start time of the departed process is known"))
	l.RecordHeartbeat(3*second, Heartbeat{InstanceID: "a", StartedAtMS: 100, Sequence: 1})
	expectAccepting(t, l, "a@100")
}

// TestAnnouncedDepartureAfterAClockStep: a clock that is set back does not make the daemon
// overlook that the current process leaves.
func TestAnnouncedDepartureAfterAClockStep(t *testing.T) {
	l := NewLifecycle(true, nil)
	l.RecordHeartbeat(1*second, Heartbeat{InstanceID: "a", StartedAtMS: 500, Sequence: 1})
	must.True(t, l.RecordDeparture(2*second, Departure{Incarnation: Incarnation{ID: "a"}, StartedByMS: 300, Source: FromDeregistration}))
	expectAccepting(t, l, "")
}

// restartableDaemon is a lifecycle whose daemon may restart: departures are stored.
type restartableDaemon struct {
	*Lifecycle
	stored map[string]bool
}

func (d *restartableDaemon) restart(nowMS int64) {
	d.Lifecycle = NewLifecycle(true, nil)
	for text := range d.stored {
		d.RecordDeparture(0, Departure{Incarnation: ParseIncarnation(text), StartedByMS: nowMS, Source: FromStore})
	}
}

// TestOnlyTheProcessThatLeavesIsDeparted: whatever is known of a process when it says in a
// response that it leaves, it gets no further requests, and the next one does.
func TestOnlyTheProcessThatLeavesIsDeparted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &restartableDaemon{Lifecycle: NewLifecycle(true, nil), stored: map[string]bool{}}
		started, sequence, left := int64(10), uint64(0), false
		now := func() int64 { return started + int64(sequence) + 1 }
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			sequence++
			switch rapid.SampledFrom([]string{"heartbeat", "late heartbeat", "health", "leave", "new process", "daemon restart"}).Draw(t, "message") {
			case "heartbeat":
				d.RecordHeartbeat(now(), Heartbeat{InstanceID: "a", StartedAtMS: started, Sequence: sequence, ReceivedAtMS: now()})
				if _, ok := d.Accepting(); ok == left {
					t.Fatalf("left %v, accepting %v", left, ok)
				}
			case "late heartbeat":
				d.RecordHeartbeat(now(), Heartbeat{InstanceID: "a", StartedAtMS: max(started-1000, 5), Sequence: sequence, ReceivedAtMS: now()})
			case "health":
				d.RecordGoodHealthCheck(now(), "a")
			case "leave":
				current, _ := d.Current()
				if current.ID == "" {
					continue
				}
				if current.StartedAtMS != 0 && current.StartedAtMS != started {
					// The daemon believes that an earlier process runs: the departure is that one's.
					continue
				}
				if d.RecordDeparture(now(), Departure{Incarnation: current, StartedByMS: now(), Source: FromResponse}) {
					d.stored[d.RecordedDeparture("a").String()] = true
				}
				// While a record with an unknown start time applies, no other is made.
				left = left || d.RecordedDeparture("a").StartedAtMS >= started
			case "new process":
				started, sequence, left = now()+1000, 0, false
			case "daemon restart":
				d.restart(now())
			}
			if current, ok := d.Accepting(); ok && left && current.StartedAtMS >= started {
				t.Fatalf("departed process %s gets requests", current)
			}
		}
	})
}
