package grants

import (
	"container/heap"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// simulation plays senders and a receiver with one link of a fixed rate. Each sender has an
// uplink of its own. Bytes of one sender arrive in order.
type simulation struct {
	*Scheduler
	now int64
	// bytesPerSecond is the rate of the receiver's link, and freeAt when it has sent all that
	// is queued.
	bytesPerSecond float64
	freeAt         int64
	uplinks        map[Sender]*uplink
	events         eventHeap
	bodies         map[ID]*simulatedBody
	// queued is the number of bytes in the queue of the receiver's link, maxQueued the most
	// so far. deliveredBytes have arrived.
	queued, maxQueued, deliveredBytes int64
	lastEvent                         int
	finished                          []ID
	stalled                           []ID
}

// uplink is the path from one sender to the queue of the receiver's link.
type uplink struct {
	// oneWay is the delay in nanoseconds, in each direction.
	oneWay         int64
	bytesPerSecond float64
	freeAt         int64
	// dead makes the sender ignore grants.
	dead bool
}

type simulatedBody struct {
	sender Sender
	sent   int64
}

type simulatedEvent struct {
	at  int64
	seq int
	do  func()
}

type eventHeap []simulatedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simulatedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimulation(bytesPerSecond float64) *simulation {
	return &simulation{Scheduler: NewScheduler(), bytesPerSecond: bytesPerSecond, uplinks: map[Sender]*uplink{}, bodies: map[ID]*simulatedBody{}}
}

func (s *simulation) schedule(at int64, do func()) {
	s.lastEvent++
	heap.Push(&s.events, simulatedEvent{at: at, seq: s.lastEvent, do: do})
}

func (s *simulation) add(t Transfer) ID {
	s.SetRoundTrip(t.Sender, time.Duration(2*s.uplinks[t.Sender].oneWay))
	id := s.Add(t)
	s.bodies[id] = &simulatedBody{sender: t.Sender}
	s.step()
	return id
}

// step sends the grants of the scheduler.
func (s *simulation) step() {
	grants, stalled := s.Tick(s.now)
	s.stalled = append(s.stalled, stalled...)
	for _, g := range grants {
		up := s.uplinks[s.bodies[g.ID].sender]
		s.schedule(s.now+up.oneWay, func() { s.send(g) })
	}
	if due, ok := s.NextDue(); ok {
		s.schedule(due, func() {
			if next, ok := s.NextDue(); ok && next <= s.now {
				s.step()
			}
		})
	}
}

// send makes a sender send what was granted, in chunks of maxPiece.
func (s *simulation) send(g Grant) {
	body := s.bodies[g.ID]
	up := s.uplinks[body.sender]
	if up.dead {
		return
	}
	for body.sent < g.Offset {
		n := min(maxPiece, g.Offset-body.sent)
		body.sent += n
		up.freeAt = max(up.freeAt, s.now) + transmission(n, up.bytesPerSecond)
		s.schedule(up.freeAt+up.oneWay, func() { s.enqueue(g.ID, n) })
	}
}

// enqueue adds bytes to the queue of the receiver's link.
func (s *simulation) enqueue(id ID, n int64) {
	s.queued += n
	s.maxQueued = max(s.maxQueued, s.queued)
	s.freeAt = max(s.freeAt, s.now) + transmission(n, s.bytesPerSecond)
	s.schedule(s.freeAt, func() {
		s.queued -= n
		s.deliveredBytes += n
		whole, err := s.Arrived(s.now, id, n)
		if err != nil {
			panic(err)
		}
		if whole {
			s.finished = append(s.finished, id)
		}
		s.step()
	})
}

func transmission(n int64, bytesPerSecond float64) int64 {
	return int64(float64(n) / bytesPerSecond * float64(time.Second))
}

// runUntil plays the events up to a time.
func (s *simulation) runUntil(end int64) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simulatedEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

const (
	second   = int64(time.Second)
	mbit     = 1e6 / 8.0
	bodySize = 360_000
)

// TestRateIsLearntAndTheQueueStaysShort checks for links of different rates and delays that
// the scheduler uses most of the link, and that what waits in front of other frames stays
// below 20 ms or a few pieces.
func TestRateIsLearntAndTheQueueStaysShort(t *testing.T) {
	scenarios := []struct {
		name         string
		mbits        float64
		oneWay       time.Duration
		uplinkMbits  float64
		senders      int
		minUsedShare float64
	}{
		{"10 Mbit/s, near", 10, 100 * time.Microsecond, 1000, 1, 0.9},
		{"10 Mbit/s, far", 10, 4 * time.Millisecond, 1000, 1, 0.9},
		{"10 Mbit/s, 60 senders", 10, 4 * time.Millisecond, 1000, 60, 0.9},
		{"2 Mbit/s", 2, 4 * time.Millisecond, 100, 10, 0.9},
		{"200 Mbit/s, near", 200, 100 * time.Microsecond, 1000, 1, 0.9},
		{"200 Mbit/s, far", 200, 4 * time.Millisecond, 1000, 1, 0.9},
		{"200 Mbit/s, senders of 10 Mbit/s", 200, 4 * time.Millisecond, 10, 40, 0.9},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newSimulation(sc.mbits * mbit)
			for i := range sc.senders {
				s.uplinks[Sender(i)] = &uplink{oneWay: int64(sc.oneWay), bytesPerSecond: sc.uplinkMbits * mbit}
				s.add(Transfer{Sender: Sender(i), Size: 1 << 40, StartBy: 1 << 60})
			}
			s.runUntil(2 * second)
			before := s.deliveredBytes
			s.maxQueued = 0
			s.runUntil(4 * second)
			used := float64(s.deliveredBytes-before) / (2 * sc.mbits * mbit)
			t.Logf("used %.3f of the link, learnt %.2f Mbit/s, queue %d bytes", used, s.Load().Rate/mbit, s.maxQueued)
			test.GreaterEq(t, sc.minUsedShare, used)
			queueTime := time.Duration(transmission(s.maxQueued, s.bytesPerSecond))
			test.True(t, queueTime <= 20*time.Millisecond || s.maxQueued <= 4*minPiece, test.Sprintf("%v, %d bytes", queueTime, s.maxQueued))
			test.Len(t, 0, s.stalled)
		})
	}
}

// TestSlowSenderDoesNotHoldUpOthers checks that a sender with a slow uplink, first in the
// order, leaves the rest of the link to others.
func TestSlowSenderDoesNotHoldUpOthers(t *testing.T) {
	s := newSimulation(100 * mbit)
	s.uplinks[1] = &uplink{oneWay: int64(4 * time.Millisecond), bytesPerSecond: 2 * mbit}
	s.uplinks[2] = &uplink{oneWay: int64(4 * time.Millisecond), bytesPerSecond: 1000 * mbit}
	s.add(Transfer{Sender: 1, Size: 1 << 40, Rank: 0, StartBy: 1 << 60})
	s.add(Transfer{Sender: 2, Size: 1 << 40, Rank: 1, StartBy: 1 << 60})
	s.runUntil(2 * second)
	before := s.deliveredBytes
	s.runUntil(4 * second)
	test.GreaterEq(t, 0.85, float64(s.deliveredBytes-before)/(2*100*mbit))
}

// TestFasterLinkIsLearnt checks that the rate follows a link that becomes faster, and one
// that becomes slower.
func TestFasterLinkIsLearnt(t *testing.T) {
	s := newSimulation(10 * mbit)
	s.uplinks[1] = &uplink{oneWay: int64(time.Millisecond), bytesPerSecond: 1000 * mbit}
	s.add(Transfer{Sender: 1, Size: 1 << 40, StartBy: 1 << 60})
	s.runUntil(2 * second)
	test.Between(t, 9.5*mbit, s.Load().Rate, 10.5*mbit)
	s.bytesPerSecond = 50 * mbit
	s.runUntil(5 * second)
	test.Between(t, 45*mbit, s.Load().Rate, 55*mbit)
	s.bytesPerSecond = 10 * mbit
	s.runUntil(9 * second)
	test.Between(t, 9.5*mbit, s.senders[1].rate(), 12*mbit)
}

// TestMostUrgentTransferFirst checks the order: rank, then start-by time, with late transfers
// behind the others of their rank.
func TestMostUrgentTransferFirst(t *testing.T) {
	s := newSimulation(10 * mbit)
	s.now = second
	for i := range 5 {
		s.uplinks[Sender(i)] = &uplink{oneWay: int64(time.Millisecond), bytesPerSecond: 1000 * mbit}
	}
	far := 100 * second
	first := s.add(Transfer{Sender: 0, Size: bodySize, Rank: 2, StartBy: far})
	late := s.add(Transfer{Sender: 1, Size: bodySize, Rank: 1, StartBy: second / 2})
	second2 := s.add(Transfer{Sender: 2, Size: bodySize, Rank: 1, StartBy: far + 2})
	second1 := s.add(Transfer{Sender: 3, Size: bodySize, Rank: 1, StartBy: far + 1})
	urgent := s.add(Transfer{Sender: 4, Size: bodySize, Rank: 0, StartBy: far + 3})
	s.runUntil(10 * second)
	test.Eq(t, []ID{urgent, second1, second2, late, first}, s.finished)
}

// TestCreditOfAStalledSenderReturns checks that a sender that dies after a grant does not
// keep others from sending, that it gets no further grants, and that it gets some again
// when it sends.
func TestCreditOfAStalledSenderReturns(t *testing.T) {
	s := newSimulation(10 * mbit)
	for i := range 2 {
		s.uplinks[Sender(i)] = &uplink{oneWay: int64(time.Millisecond), bytesPerSecond: 1000 * mbit}
	}
	s.add(Transfer{Sender: 1, Size: bodySize, StartBy: 1 << 60})
	s.runUntil(second)
	must.Len(t, 1, s.finished)
	s.uplinks[0].dead = true
	dead := s.add(Transfer{Sender: 0, Size: bodySize, StartBy: 1})
	alive := s.add(Transfer{Sender: 1, Size: bodySize, StartBy: 1 << 60})
	bound := int64(s.stallBound(s.senders[0]))
	test.LessEq(t, second/4, bound)
	granted := s.find(dead).granted
	test.Positive(t, granted)
	s.runUntil(second + bound)
	test.Eq(t, []ID{dead}, s.stalled)
	s.runUntil(2 * second)
	test.Eq(t, alive, s.finished[len(s.finished)-1])
	test.Eq(t, granted, s.find(dead).granted)
	test.Zero(t, s.Load().Outstanding)

	_, err := s.Arrived(s.now, dead, granted-1)
	must.NoError(t, err)
	test.Zero(t, s.Load().Outstanding, test.Sprint("late bytes return no credit a second time"))
	s.step()
	test.Greater(t, granted, s.find(dead).granted)
	s.RemoveSender(0)
	test.Zero(t, s.Load().Outstanding)
	test.Zero(t, s.Load().Waiting)
}

// TestPredictionsNeedALearntRate checks that no transfer is predicted to take long while the
// rate is not known, or was learnt too long ago, since its refusal would keep the rate from
// being corrected.
func TestPredictionsNeedALearntRate(t *testing.T) {
	s := newSimulation(10 * mbit)
	s.uplinks[1] = &uplink{oneWay: int64(time.Millisecond), bytesPerSecond: 1000 * mbit}
	next := Transfer{Sender: 1, Size: bodySize, StartBy: 1 << 60}
	test.Zero(t, s.ExpectedTime(s.now, next))
	s.add(next)
	s.add(next)
	s.runUntil(second / 2)
	expected := s.ExpectedTime(s.now, next)
	test.Between(t, 300*time.Millisecond, expected, 500*time.Millisecond)
	urgent := next
	urgent.StartBy--
	test.Less(t, expected, s.ExpectedTime(s.now, urgent))
	s.runUntil(10 * second)
	test.Zero(t, s.ExpectedTime(s.now, next))
}

// TestForecastOfABody checks that a forecast counts the bodies that are granted first, without
// those that are late or whose senders have stalled, and needs a rate learnt of late.
func TestForecastOfABody(t *testing.T) {
	s := newSimulation(10 * mbit)
	for i := range 2 {
		s.uplinks[Sender(i)] = &uplink{oneWay: int64(time.Millisecond), bytesPerSecond: 1000 * mbit}
	}
	test.Eq(t, Forecast{}, s.Forecast(s.now))
	s.add(Transfer{Sender: 1, Size: bodySize, StartBy: 1 << 60})
	s.runUntil(second)
	must.Len(t, 1, s.finished)
	idle := s.Forecast(s.now)
	test.Zero(t, idle.Wait)
	test.Between(t, 9*mbit, idle.Rate, 11*mbit)
	s.add(Transfer{Sender: 1, Size: bodySize, StartBy: s.now - 1})
	test.Zero(t, s.Forecast(s.now).Wait, test.Sprint("a late body"))
	s.add(Transfer{Sender: 1, Size: bodySize, StartBy: 1 << 60})
	test.Between(t, 260*time.Millisecond, s.Forecast(s.now).Wait, 320*time.Millisecond)
	s.uplinks[0].dead = true
	s.add(Transfer{Sender: 0, Size: 10 * bodySize, StartBy: 1 << 60})
	test.Greater(t, time.Second, s.Forecast(s.now).Wait)
	s.runUntil(s.now + second/2)
	must.Len(t, 1, s.stalled)
	test.Less(t, 500*time.Millisecond, s.Forecast(s.now).Wait, test.Sprint("a stalled sender"))
	s.runUntil(20 * second)
	test.Eq(t, Forecast{}, s.Forecast(s.now))
}

func TestUngrantedBytesAreAnError(t *testing.T) {
	s := NewScheduler()
	id := s.Add(Transfer{Sender: 1, Size: bodySize})
	_, err := s.Arrived(1, id, 1)
	test.ErrorIs(t, err, ErrNotGranted)
	grants, _ := s.Tick(1)
	must.Len(t, 1, grants)
	_, err = s.Arrived(2, id, grants[0].Offset+1)
	test.ErrorIs(t, err, ErrNotGranted)
}
