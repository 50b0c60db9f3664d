package choose

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// demandModel is one service in four data centres with real gates. Each entry knows the loads
// from the answers to its own requests only. Uploads with large bodies and small calls of
// running requests share its backend servers. Time is that of the events.
type demandModel struct {
	shape   demandShape
	near    bool
	rnd     *rand.Rand
	now     int64
	events  eventHeap
	gates   []*gate.Gate
	entries [][]tables.Candidate
	served  [2]int
	sent    [2]int
	crossed int
}

// demandShape is the demand and the backend servers of one test. The service as a whole is not
// short of capacity: it needs less than 0.9 of its usable slots.
type demandShape struct {
	name    string
	servers []int
	// swing is the amplitude of the demand of a data centre, as a share of its mean. The
	// data centres are out of phase.
	swing float64
	// uploads is the mean number of uploads a second.
	uploads float64
}

const (
	uploadKind = iota
	callKind

	modelSlots     = 6
	entriesPerHome = 10
	modelSeeds     = 4
	modelSeconds   = 26
	swingPeriod    = 13 * time.Second
	nearDelay      = 300 * time.Microsecond
	crossingDelay  = 3900 * time.Microsecond
	linkBytesPerUS = 1.25
	meanUpload     = 60e3
	maxUpload      = 360e3
	grantsAbove    = 32 << 10
	callsPerSecond = 200
	// meanBytes is the mean size of the requests of the deployment.
	meanBytes = 6000
)

var (
	modelWork   = [...]time.Duration{120 * time.Millisecond, 29 * time.Millisecond}
	modelTarget = [...]time.Duration{800 * time.Millisecond, 300 * time.Millisecond}
	callers     = [...]float64{0.29, 0.27, 0.23, 0.21}
)

// event is a function that runs at a time of the model.
type event struct {
	at  int64
	seq int
	run func()
}

type eventHeap struct {
	list []event
	seq  int
}

func (h *eventHeap) Len() int { return len(h.list) }
func (h *eventHeap) Less(i, j int) bool {
	if h.list[i].at != h.list[j].at {
		return h.list[i].at < h.list[j].at
	}
	return h.list[i].seq < h.list[j].seq
}
func (h *eventHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventHeap) Push(x any)    { h.list = append(h.list, x.(event)) }
func (h *eventHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

func (m *demandModel) after(d time.Duration, run func()) {
	m.events.seq++
	heap.Push(&m.events, event{m.now + int64(d), m.events.seq, run})
}

// modelRequest is one request of the model.
type modelRequest struct {
	kind, entry, bytes, tries int
	startedAt                 int64
	softLeft                  int
	softRefused, excluded     IndexSet
}

func newDemandModel(shape demandShape, seed uint64, near bool) *demandModel {
	m := &demandModel{shape: shape, near: near, rnd: rand.New(rand.NewPCG(seed, 1)), now: 1}
	m.entries = make([][]tables.Candidate, len(shape.servers)*entriesPerHome)
	for home, servers := range shape.servers {
		for range servers {
			m.gates = append(m.gates, gate.New(gate.Options{Slots: modelSlots, QueueLength: 200, QueueTime: time.Second, Order: gate.Ranked, SoftSlowdown: 1.8, UsableShare: 0.8}))
			for entry := range m.entries {
				load := tables.NewLoad(modelSlots)
				load.SetMinRTT(2 * delayBetween(entry/entriesPerHome, home))
				m.entries[entry] = append(m.entries[entry], tables.Candidate{Endpoint: &tables.Endpoint{DataCentre: dataCentreName(home), Load: load}, Load: load})
			}
		}
	}
	for entry := range m.entries {
		m.schedule(entry, uploadKind, shape.uploads)
		m.schedule(entry, callKind, callsPerSecond)
	}
	return m
}

func dataCentreName(i int) string { return string(rune('a' + i)) }

func delayBetween(a, b int) time.Duration {
	if a == b {
		return nearDelay
	}
	return crossingDelay
}

// schedule draws the arrivals of one kind at one entry. The source is one of its own, so that
// both variants get the same requests.
func (m *demandModel) schedule(entry, kind int, perSecond float64) {
	rnd := rand.New(rand.NewPCG(uint64(kind), uint64(entry)+m.rnd.Uint64()))
	home := entry / entriesPerHome
	highest := perSecond * callers[home] / entriesPerHome * (1 + m.shape.swing)
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / highest
		if at > modelSeconds {
			return
		}
		phase := 2 * math.Pi * (at/swingPeriod.Seconds() + float64(home)/float64(len(callers)))
		bytes := 200
		if kind == uploadKind {
			bytes = int(min(rnd.ExpFloat64()*meanUpload, maxUpload))
		}
		if rnd.Float64()*(1+m.shape.swing) > 1+m.shape.swing*math.Sin(phase) {
			continue
		}
		m.after(time.Duration(at*float64(time.Second)), func() {
			m.sent[kind]++
			m.attempt(&modelRequest{kind: kind, entry: entry, bytes: bytes, startedAt: m.now, softLeft: 3})
		})
	}
}

func (m *demandModel) run() {
	for len(m.events.list) > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

func transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes)/linkBytesPerUS) * time.Microsecond
}

// attempt makes the next attempt of a request.
func (m *demandModel) attempt(r *modelRequest) {
	left := modelTarget[r.kind] - time.Duration(m.now-r.startedAt)
	if left <= 0 || r.tries >= 12 {
		return
	}
	crossing := time.Duration(0.8 * float64(modelTarget[r.kind]) * float64(r.bytes) / meanBytes)
	large := r.bytes > grantsAbove
	req := &AttemptRequest{
		RoutedRequest: RoutedRequest{
			Now: m.now, CandidateSet: m.entries[r.entry], Excluded: r.excluded, Location: proximity.Location{DataCentre: dataCentreName(r.entry / entriesPerHome)},
			CrossingCost: newCrossingCosts(crossing, crossing), Work: modelWork[r.kind], SoftSlowdown: 1.8, UsableShare: 0.8,
			TimeToTarget: left, TimeToDeadline: left,
		},
		MaySoft: r.softLeft > 0, SoftRefused: r.softRefused, AboveMean: r.bytes > meanBytes, LargeBody: large && m.near,
	}
	if large {
		req.Transfer = transferTime(r.bytes)
	}
	pick := PickAttempt(req, m.rnd)
	if pick.Index == NoCandidate {
		return
	}
	r.tries++
	load := m.entries[r.entry][pick.Index].Load
	load.RecordSent(m.now)
	oneWay := load.MinRTT() / 2
	m.after(oneWay, func() { m.arrive(r, &pick, large, oneWay) })
}

// arrive passes a request to the gate of the picked backend server, its head first if its
// body is large.
func (m *demandModel) arrive(r *modelRequest, pick *AttemptPick, large bool, oneWay time.Duration) {
	g := m.gates[pick.Index]
	endBy := r.startedAt + int64(modelTarget[r.kind])
	job := &gate.Job{Work: modelWork[r.kind], Deadline: endBy, EndBy: endBy, Soft: pick.Soft, SameDataCentre: pick.Proximity == proximity.SameDataCentre, Nested: r.kind == callKind}
	job.Start = func() {
		m.after(time.Duration(float64(job.Work)*(0.7+0.6*m.rnd.Float64())), func() {
			m.startAll(g.Finish(m.now, job, true))
			m.reply(r, pick.Index, oneWay, nil)
		})
	}
	admit := func() {
		if pick.Proximity != proximity.SameDataCentre {
			m.crossed += r.bytes
		}
		run, refusal := g.Admit(m.now, job)
		switch {
		case refusal != nil:
			m.reply(r, pick.Index, oneWay, refusal)
		case run:
			job.Start()
		default:
			m.after(job.MaxWait(m.now), func() {
				if g.Withdraw(job) {
					m.reply(r, pick.Index, oneWay, errkind.New(errkind.Overloaded, ""))
				}
			})
		}
	}
	if !large {
		admit()
		return
	}
	transfer := transferTime(r.bytes)
	if refusal := g.Reserve(m.now, job, transfer); refusal != nil {
		m.reply(r, pick.Index, oneWay, refusal)
		return
	}
	m.after(transfer+2*oneWay, admit)
}

func (m *demandModel) startAll(jobs []*gate.Job) {
	for _, job := range jobs {
		job.Start()
	}
}

// reply delivers the end of an attempt to the entry.
func (m *demandModel) reply(r *modelRequest, index int, oneWay time.Duration, refusal *errkind.Error) {
	stamp := m.gates[index].Stamp(m.now)
	m.after(oneWay, func() {
		load := m.entries[r.entry][index].Load
		load.RecordEnded(m.now)
		load.ApplyStamp(m.now, stamp)
		switch {
		case refusal == nil:
			if m.now-r.startedAt <= int64(modelTarget[r.kind]) {
				m.served[r.kind]++
			}
			return
		case refusal.Kind == errkind.GateBusier:
			r.softLeft--
			r.softRefused = r.softRefused.With(index)
		default:
			r.excluded = r.excluded.With(index)
		}
		m.attempt(r)
	})
}

// TestUnevenDemand compares requests with large bodies that cross at once where their data
// centre is short, as they did before, with ones that queue nearer: fewer bytes cross, and no
// shape of demand serves fewer uploads or calls in time.
func TestUnevenDemand(t *testing.T) {
	for _, shape := range []demandShape{
		{"steady and uneven", []int{2, 3, 1, 2}, 0, 150},
		{"swinging out of phase", []int{2, 3, 1, 2}, 0.55, 150},
		{"one data centre cut to one backend server", []int{2, 1, 1, 2}, 0, 130},
	} {
		t.Run(shape.name, func(t *testing.T) {
			var before, after demandTotals
			for seed := range uint64(modelSeeds) {
				before.add(newDemandModel(shape, seed, false))
				after.add(newDemandModel(shape, seed, true))
			}
			must.Eq(t, before.sent, after.sent)
			t.Logf("before: %+v", before)
			t.Logf("after:  %+v", after)
			test.Less(t, before.crossed, after.crossed)
			test.GreaterEq(t, before.served[uploadKind], after.served[uploadKind])
			test.GreaterEq(t, before.served[callKind], after.served[callKind])
		})
	}
}

// demandTotals are the results of several runs of the model.
type demandTotals struct {
	sent, served [2]int
	crossed      int
}

func (d *demandTotals) add(m *demandModel) {
	m.run()
	for kind := range d.sent {
		d.sent[kind] += m.sent[kind]
		d.served[kind] += m.served[kind]
	}
	d.crossed += m.crossed
}
