package choose

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/linkdelay"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	simulatedRun     = 30 * time.Millisecond
	simulatedTimeout = 260 * time.Millisecond
	// simulatedFrame is the time of a call on a link, simulatedOneWay the delay besides.
	simulatedFrame  = 800 * time.Microsecond
	simulatedOneWay = time.Millisecond
)

// simulatedVM is an executor with a narrow link and enough slots.
type simulatedVM struct {
	linkFreeAt int64
	delays     *linkdelay.Delays[int]
	seq        uint64
	calls      int
}

// simulatedEvent happens at a time.
type simulatedEvent struct {
	at int64
	do func()
}

// linkSimulation plays short calls of many entries to VMs. Bodies fill the link of the first
// VM.
type linkSimulation struct {
	now    int64
	events []simulatedEvent
	vms    []*simulatedVM
	// entries holds the candidates as each entry knows them.
	entries      [][]tables.Candidate
	random       *rand.Rand
	reportsLinks bool
	served, sent int
}

func newLinkSimulation(vms, entries int, reportsLinks bool) *linkSimulation {
	s := &linkSimulation{now: int64(time.Hour), random: rand.New(rand.NewPCG(1, 2)), reportsLinks: reportsLinks}
	for range vms {
		s.vms = append(s.vms, &simulatedVM{delays: linkdelay.NewDelays[int]()})
	}
	for range entries {
		var known []tables.Candidate
		for range vms {
			load := tables.NewLoad(6)
			load.SetMinRTT(2 * simulatedOneWay)
			known = append(known, tables.Candidate{Endpoint: &tables.Endpoint{DataCentre: "here", Load: load}, Load: load})
		}
		s.entries = append(s.entries, known)
	}
	return s
}

func (s *linkSimulation) schedule(at int64, do func()) {
	i, _ := slices.BinarySearchFunc(s.events, at, func(e simulatedEvent, at int64) int { return cmp.Compare(e.at, at+1) })
	s.events = slices.Insert(s.events, i, simulatedEvent{at, do})
}

// send sends a call of an entry and plays its way.
func (s *linkSimulation) send(entry int) {
	sentAt := s.now
	s.sent++
	pick := PickRouted(&RoutedRequest{
		Now: s.now, CandidateSet: s.entries[entry], Location: proximity.Location{DataCentre: "here"}, Work: simulatedRun,
		Soft: true, SoftSlowdown: 1.8, UsableShare: 0.8, TimeToTarget: simulatedTimeout, TimeToDeadline: simulatedTimeout,
	}, s.random)
	if pick.Index == NoCandidate {
		return
	}
	load, vm := s.entries[entry][pick.Index].Load, s.vms[pick.Index]
	load.RecordSent(s.now)
	vm.calls++
	vm.linkFreeAt = max(vm.linkFreeAt, s.now) + int64(simulatedFrame)
	s.schedule(vm.linkFreeAt+int64(simulatedOneWay), func() { s.arrive(entry, sentAt, vm, load) })
}

func (s *linkSimulation) arrive(entry int, sentAt int64, vm *simulatedVM, load *tables.Load) {
	delay := time.Duration(s.now-sentAt) - simulatedOneWay - simulatedFrame
	vm.delays.Record(s.now, entry, delay)
	end := s.now
	if delay+simulatedRun <= simulatedTimeout {
		s.served++
		end += int64(simulatedRun)
	}
	s.schedule(end, func() {
		vm.seq++
		stamp := wire.Stamp{Seq: vm.seq, Limit: 6, Slowdown: 100}
		if s.reportsLinks {
			stamp.LinkDelayMS = uint32(vm.delays.Current(s.now, 1).Milliseconds())
		}
		s.schedule(s.now+int64(simulatedOneWay), func() {
			load.RecordEnded(s.now)
			load.ApplyStamp(s.now, stamp)
		})
	})
}

// fill puts bodies on the link of the first VM that take the given time, again and again.
func (s *linkSimulation) fill(duration, interval time.Duration, until int64) {
	vm := s.vms[0]
	vm.linkFreeAt = max(vm.linkFreeAt, s.now) + int64(duration)
	if next := s.now + int64(interval); next < until {
		s.schedule(next, func() { s.fill(duration, interval, until) })
	}
}

// run plays calls at a rate for a time, and returns the share of them that was served in
// time, and that of the calls that the first VM got.
func (s *linkSimulation) run(callsPerSecond int, length time.Duration) (served, first float64) {
	s.served, s.sent = 0, 0
	for _, vm := range s.vms {
		vm.calls = 0
	}
	end := s.now + int64(length)
	for at := s.now; at < end; at += int64(time.Second) / int64(callsPerSecond) {
		s.schedule(at, func() { s.send(s.random.IntN(len(s.entries))) })
	}
	for len(s.events) > 0 && s.events[0].at < end+int64(time.Second) {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.do()
	}
	return float64(s.served) / float64(s.sent), float64(s.vms[0].calls) / float64(s.sent)
}

// TestAFleetAvoidsASlowLinkAndReturnsToIt checks for entries with many and with few calls each
// that reports on links save at least half of the calls that are too late without them, and
// that the VM gets calls again once its link is free.
func TestAFleetAvoidsASlowLinkAndReturnsToIt(t *testing.T) {
	const vms, callsPerSecond = 8, 400
	for _, entries := range []int{12, 40} {
		var late [2]float64
		for i, reports := range []bool{false, true} {
			s := newLinkSimulation(vms, entries, reports)
			served, _ := s.run(callsPerSecond, 3*time.Second)
			test.Eq(t, 1, served)
			s.fill(400*time.Millisecond, 600*time.Millisecond, s.now+int64(5*time.Second))
			served, first := s.run(callsPerSecond, 5*time.Second)
			late[i] = 1 - served
			s.now += int64(2 * time.Second)
			served, again := s.run(callsPerSecond, 5*time.Second)
			t.Logf("%d entries, reports %v: late %.4f, calls to the slow link %.3f, after it %.3f", entries, reports, late[i], first, again)
			test.Eq(t, 1, served)
			test.GreaterEq(t, 0.5/vms, again)
		}
		test.LessEq(t, late[0]/2, late[1], test.Sprintf("%d entries", entries))
	}
}
