package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// planRow models a plan's row in the store, whose writes are conditional on its version.
// A write may succeed although its answer is lost, and may be delayed (lateWrites).
type planRow struct {
	plan         Plan
	lastRevision uint64
	written      []Plan
	lateWrites   []Plan
}

func (r *planRow) write(p Plan) bool {
	if p.Revision != r.plan.Revision {
		return false
	}
	r.lastRevision++
	p.Revision = r.lastRevision
	r.plan = p
	r.written = append(r.written, p)
	return true
}

// serviceModel is a service with its plan row, its order, its backend servers and two
// daemons that decide.
type serviceModel struct {
	row      planRow
	now      time.Duration
	order    Order
	servers  []Server
	verdict  Verdict
	deciders [2]decider
}

// decider is a daemon that decides, with its view of the service, which may be outdated,
// and the offset of its clock.
type decider struct {
	plan    Plan
	order   Order
	verdict Verdict
	offset  time.Duration
}

func (m *serviceModel) advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond
}

// newOrder replaces the order and resets the verdict.
func (m *serviceModel) newOrder(t *rapid.T) {
	m.row.lastRevision++
	m.order = Order{
		Service: "desk", Version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"), Revision: m.row.lastRevision,
		Duration: time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds")) * time.Second,
	}
	m.verdict = Verdict{}
}

func (m *serviceModel) removeOrder(*rapid.T) { m.order, m.verdict = Order{}, Verdict{} }

func (m *serviceModel) changeServer(t *rapid.T) {
	s := &m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")]
	s.Ready = rapid.Bool().Draw(t, "ready")
	s.Drained = rapid.Bool().Draw(t, "drained")
	s.Unreachable = !s.Ready && rapid.Bool().Draw(t, "unreachable")
}

func (m *serviceModel) drain(*rapid.T) {
	for i := range m.servers {
		m.servers[i].Drained = true
	}
}

func (m *serviceModel) giveEnoughRuns(*rapid.T) { m.verdict.EnoughRuns = true }

func (m *serviceModel) findBad(*rapid.T) { m.verdict.Bad = true }

// updateView brings parts of a decider's view up to date. Its view is outdated until the
// next update.
func (m *serviceModel) updateView(t *rapid.T) {
	d := &m.deciders[rapid.IntRange(0, 1).Draw(t, "decider")]
	if rapid.Bool().Draw(t, "row") {
		d.plan = m.row.plan
	}
	if rapid.Bool().Draw(t, "order") {
		d.order, d.verdict = m.order, m.verdict
	}
	d.offset = time.Duration(rapid.IntRange(-300, 300).Draw(t, "offset")) * time.Millisecond
}

func (m *serviceModel) decide(t *rapid.T) {
	d := &m.deciders[rapid.IntRange(0, 1).Draw(t, "decider")]
	next, changed := Decide(m.now+d.offset, d.order, d.plan, d.verdict, m.servers, testLimits)
	if !changed {
		must.Eq(t, d.plan, next)
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "store") {
	case 0: // the write failed
	case 1: // the write is delayed
		m.row.lateWrites = append(m.row.lateWrites, next)
	case 2: // the write succeeded, but its answer was lost
		m.row.write(next)
	default:
		if m.row.write(next) {
			d.plan = m.row.plan
		}
	}
}

func (m *serviceModel) lateWrite(*rapid.T) {
	if len(m.row.lateWrites) > 0 {
		m.row.write(m.row.lateWrites[0])
		m.row.lateWrites = m.row.lateWrites[1:]
	}
}

// checkInvariants compares each plan written to the row with the one before.
func (m *serviceModel) checkInvariants(t *rapid.T) {
	for i := 1; i < len(m.row.written); i++ {
		before, after := m.row.written[i-1], m.row.written[i]
		test.True(t, after.valid())
		test.GreaterEq(t, before.Order, after.Order)
		if before.Order != after.Order {
			test.LessEq(t, Switching, after.Phase, test.Sprint("the first plan of an order must not have ended"))
			continue
		}
		test.False(t, before.Phase.Ended(), test.Sprint("no plan may follow one that has ended"))
		test.LessEq(t, after.Phase, before.Phase, test.Sprint("the phase must not go back"))
		test.Eq(t, before.Deadline, after.Deadline)
		if after.Phase == Completed {
			test.Eq(t, Switching, before.Phase)
		}
		if after.Phase == Switching && before.Phase == Canary {
			test.LessEq(t, after.Deadline-minTimeAfterSwitch, after.Since)
		}
	}
}

func newServiceModel() *serviceModel {
	m := &serviceModel{now: time.Hour, servers: bothVersions(3)}
	m.servers = append(m.servers, serversOf("v3", 2)...)
	return m
}

// TestConcurrentDecidersKeepPhaseOrder checks that with two daemons that decide on outdated
// views, and with writes that fail, are delayed or lose their answers, the phase of an
// order never goes back, and no plan follows one that has completed or was rolled back.
func TestConcurrentDecidersKeepPhaseOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newServiceModel()
		m.newOrder(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": m.advance, "new order": m.newOrder, "remove order": m.removeOrder, "change server": m.changeServer, "drain": m.drain,
			"enough runs": m.giveEnoughRuns, "found bad": m.findBad, "update view": m.updateView, "decide": m.decide, "decide again": m.decide, "late write": m.lateWrite,
			"": m.checkInvariants,
		})
	})
}

// TestBadVerdictBeforeCompletionRollsBack checks that a bad verdict on an order that has
// not ended rolls it back, once both daemons know the verdict and a write succeeds.
func TestBadVerdictBeforeCompletionRollsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newServiceModel()
		m.newOrder(t)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			rapid.SampledFrom([]func(*rapid.T){m.advance, m.changeServer, m.drain, m.giveEnoughRuns, m.updateView, m.decide, m.decide, m.lateWrite}).Draw(t, "step")(t)
		}
		if m.row.plan.Order != m.order.Revision || m.row.plan.Phase.Ended() {
			return
		}
		m.verdict.Bad = true
		for i := range m.deciders {
			m.deciders[i] = decider{order: m.order, verdict: m.verdict}
		}
		// A delayed write could still complete the roll-out after the verdict: the order of
		// the writes at the store would decide.
		m.row.lateWrites = nil
		for range 3 {
			m.advance(t)
			for _, d := range m.deciders {
				next, changed := Decide(m.now, d.order, m.row.plan, d.verdict, m.servers, testLimits)
				if changed {
					m.row.write(next)
				}
			}
			m.changeServer(t)
		}
		test.Eq(t, RolledBack, m.row.plan.Phase)
	})
}

// TestBadVersionStaysWithinItsShare checks the requests that a version gets which is bad
// only under the whole load and is stopped maxSwitchExposure after a switch at any time in
// its window: at most the allowed share and the allowed number of requests besides,
// counted by the lanes that entries assign.
func TestBadVersionStaysWithinItsShare(t *testing.T) {
	const step = 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]int{460, 370, 290}).Draw(t, "requests a second")
		n := map[int]int{460: 30, 370: 20, 290: 8}[rate]
		duration := time.Duration(rapid.IntRange(12, 90).Draw(t, "seconds")) * time.Second
		readyAfter := time.Duration(rapid.IntRange(0, 4000).Draw(t, "ready after")) * time.Millisecond
		enoughAfter := duration - switchTime(duration) + time.Duration(rapid.IntRange(0, 1900).Draw(t, "enough runs late"))*time.Millisecond
		order := orderOf(5, "v2")
		order.Duration = duration
		counter := newLaneCounter(rate, 58)
		plan, switched := Plan{}, time.Duration(0)
		for at := time.Duration(0); at < duration; at += step {
			servers := serversOf("v1", n)
			if at >= readyAfter {
				servers = bothVersions(n)
			}
			verdict := Verdict{EnoughRuns: at >= enoughAfter, Bad: switched > 0 && at >= switched+maxSwitchExposure}
			next, changed := Decide(time.Hour+at, order, plan, verdict, servers, testLimits)
			if changed {
				next.Revision++
				plan = next
				counter.setPlan(&plan)
			}
			if plan.Phase == Switching && switched == 0 {
				switched = at
			}
			counter.run(step)
		}
		test.Eq(t, RolledBack, plan.Phase)
		test.Positive(t, switched)
		test.LessEq(t, testLimits.MaxBadShare*float64(counter.all)+float64(requestSlack), float64(counter.target),
			test.Sprintf("%d of %d requests", counter.target, counter.all))
	})
}

// laneCounter counts the requests that a number of entries assign to LaneTarget.
type laneCounter struct {
	rate, all, target int
	entries           []*TrafficPolicy
}

func newLaneCounter(rate, entries int) *laneCounter {
	return &laneCounter{rate: rate, entries: make([]*TrafficPolicy, entries)}
}

// setPlan gives each entry a policy of its own, as each daemon builds one.
func (c *laneCounter) setPlan(p *Plan) {
	for i := range c.entries {
		c.entries[i] = policyForPlan(p)
	}
}

func (c *laneCounter) run(step time.Duration) {
	for range int(float64(c.rate) * step.Seconds()) {
		entry := c.entries[c.all%len(c.entries)]
		c.all++
		if entry.AssignLane([]string{"a", "b"}[c.all/7%2]) == LaneTarget {
			c.target++
		}
	}
}
