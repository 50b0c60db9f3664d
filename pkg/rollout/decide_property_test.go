package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// row is a plan's row in a store: written under the condition of its version. Writes
// may be done although their answer is lost, also later.
type row struct {
	plan  Plan
	count uint64
	past  []Plan
	late  []Plan
}

func (r *row) write(p Plan) bool {
	if p.Revision != r.plan.Revision {
		return false
	}
	r.count++
	p.Revision = r.count
	r.plan = p
	r.past = append(r.past, p)
	return true
}

// world is a service with its row, its order and two who decide.
type world struct {
	row      row
	now      time.Duration
	order    Order
	servers  []Server
	verdict  Verdict
	deciders [2]decider
}

// decider is one with its view, which may be old.
type decider struct {
	plan    Plan
	order   Order
	verdict Verdict
	offset  time.Duration
}

func (w *world) advance(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond
}

// newOrder replaces the order, and with it what was told of the one before.
func (w *world) newOrder(t *rapid.T) {
	w.row.count++
	w.order = Order{
		Service: "desk", Version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"), Revision: w.row.count,
		Duration: time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds")) * time.Second,
	}
	w.verdict = Verdict{}
}

func (w *world) takeAway(*rapid.T) { w.order, w.verdict = Order{}, Verdict{} }

func (w *world) changeServer(t *rapid.T) {
	s := &w.servers[rapid.IntRange(0, len(w.servers)-1).Draw(t, "server")]
	s.Ready = rapid.Bool().Draw(t, "ready")
	s.Drained = rapid.Bool().Draw(t, "empty")
	s.Unreachable = !s.Ready && rapid.Bool().Draw(t, "lost")
}

func (w *world) drain(*rapid.T) {
	for i := range w.servers {
		w.servers[i].Drained = true
	}
}

func (w *world) enough(*rapid.T) { w.verdict.EnoughRuns = true }

func (w *world) bad(*rapid.T) { w.verdict.Bad = true }

// hear brings a decider up to date; what it hears is as old as it is between times.
func (w *world) hear(t *rapid.T) {
	d := &w.deciders[rapid.IntRange(0, 1).Draw(t, "decider")]
	if rapid.Bool().Draw(t, "row") {
		d.plan = w.row.plan
	}
	if rapid.Bool().Draw(t, "order") {
		d.order, d.verdict = w.order, w.verdict
	}
	d.offset = time.Duration(rapid.IntRange(-300, 300).Draw(t, "offset")) * time.Millisecond
}

func (w *world) decide(t *rapid.T) {
	d := &w.deciders[rapid.IntRange(0, 1).Draw(t, "decider")]
	next, changed := Decide(w.now+d.offset, d.order, d.plan, d.verdict, w.servers, usualLimits)
	if !changed {
		must.Eq(t, d.plan, next)
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "store") {
	case 0: // refused or never done
	case 1: // done later
		w.row.late = append(w.row.late, next)
	case 2: // done, the answer lost
		w.row.write(next)
	default:
		if w.row.write(next) {
			d.plan = w.row.plan
		}
	}
}

func (w *world) lateWrite(*rapid.T) {
	if len(w.row.late) > 0 {
		w.row.write(w.row.late[0])
		w.row.late = w.row.late[1:]
	}
}

// holds checks the rows that were ever written.
func (w *world) holds(t *rapid.T) {
	for i := 1; i < len(w.row.past); i++ {
		before, after := w.row.past[i-1], w.row.past[i]
		test.True(t, after.valid())
		test.GreaterEq(t, before.Order, after.Order)
		if before.Order != after.Order {
			test.LessEq(t, Switching, after.Phase, test.Sprint("an order begins before its end"))
			continue
		}
		test.False(t, before.Phase.Ended(), test.Sprint("nothing follows an end"))
		test.LessEq(t, after.Phase, before.Phase, test.Sprint("a phase goes back"))
		test.Eq(t, before.Deadline, after.Deadline)
		if after.Phase == Completed {
			test.Eq(t, Switching, before.Phase)
		}
		if after.Phase == Switching && before.Phase == Canary {
			test.LessEq(t, after.Deadline-lastSwitch, after.Since)
		}
	}
}

func newWorld() *world {
	w := &world{now: time.Hour, servers: both(3)}
	w.servers = append(w.servers, fleet("v3", 2)...)
	return w
}

// TestTwoThatDecideOnOldNews: whatever they know, and whatever becomes of their writes,
// phases never go back within an order, and nothing follows an end: completed and
// rolled back are never both.
func TestTwoThatDecideOnOldNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.newOrder(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": w.advance, "order": w.newOrder, "take away": w.takeAway, "server": w.changeServer, "drain": w.drain,
			"enough": w.enough, "bad": w.bad, "hear": w.hear, "decide": w.decide, "decide again": w.decide, "late write": w.lateWrite,
			"": w.holds,
		})
	})
}

// TestAStopBeforeCompletionEndsRolledBack: once both have heard of it, and the store
// takes a write of either.
func TestAStopBeforeCompletionEndsRolledBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.newOrder(t)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			rapid.SampledFrom([]func(*rapid.T){w.advance, w.changeServer, w.drain, w.enough, w.hear, w.decide, w.decide, w.lateWrite}).Draw(t, "step")(t)
		}
		if w.row.plan.Order != w.order.Revision || w.row.plan.Phase.Ended() {
			return
		}
		w.verdict.Bad = true
		for i := range w.deciders {
			w.deciders[i] = decider{order: w.order, verdict: w.verdict}
		}
		// A write that was under way when the stop came may still complete it; then the
		// plan had not ended at the stop, and the store's order of writes decides.
		w.row.late = nil
		for range 3 {
			w.advance(t)
			for _, d := range w.deciders {
				next, changed := Decide(w.now, d.order, w.row.plan, d.verdict, w.servers, usualLimits)
				if changed {
					w.row.write(next)
				}
			}
			w.changeServer(t)
		}
		test.Eq(t, RolledBack, w.row.plan.Phase)
	})
}

// TestTheExposureOfABadVersion: by the count of lanes that entries draw, of a version
// that fails only under the whole load and is stopped switchWorst later, switched as
// late as may be, a bad version gets at most the share and the slack.
func TestTheExposureOfABadVersion(t *testing.T) {
	const step = 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]int{460, 370, 290}).Draw(t, "a second")
		n := map[int]int{460: 30, 370: 20, 290: 8}[rate]
		duration := time.Duration(rapid.IntRange(12, 90).Draw(t, "seconds")) * time.Second
		readyAfter := time.Duration(rapid.IntRange(0, 4000).Draw(t, "ready after")) * time.Millisecond
		enoughAfter := duration - keepBack(duration) + time.Duration(rapid.IntRange(0, 1900).Draw(t, "enough late"))*time.Millisecond
		order := orderOf(5, "v2")
		order.Duration = duration
		service := newLanes(rate, 58)
		plan, switched := Plan{}, time.Duration(0)
		for at := time.Duration(0); at < duration; at += step {
			servers := fleet("v1", n)
			if at >= readyAfter {
				servers = both(n)
			}
			verdict := Verdict{EnoughRuns: at >= enoughAfter, Bad: switched > 0 && at >= switched+switchWorst}
			next, changed := Decide(time.Hour+at, order, plan, verdict, servers, usualLimits)
			if changed {
				next.Revision++
				plan = next
				service.obey(&plan)
			}
			if plan.Phase == Switching && switched == 0 {
				switched = at
			}
			service.run(step)
		}
		test.Eq(t, RolledBack, plan.Phase)
		test.Positive(t, switched)
		test.LessEq(t, usualLimits.MaxBadShare*float64(service.all)+float64(usualSlack), float64(service.target),
			test.Sprintf("%d of %d requests", service.target, service.all))
	})
}

// lanes counts the requests that entries send to the new version.
type lanes struct {
	rate, all, target int
	entries           []*TrafficPolicy
}

func newLanes(rate, entries int) *lanes {
	return &lanes{rate: rate, entries: make([]*TrafficPolicy, entries)}
}

// obey gives each entry a traffic of its own, as each makes one.
func (l *lanes) obey(p *Plan) {
	for i := range l.entries {
		l.entries[i] = trafficOf(p)
	}
}

func (l *lanes) run(step time.Duration) {
	for range int(float64(l.rate) * step.Seconds()) {
		entry := l.entries[l.all%len(l.entries)]
		l.all++
		if entry.AssignLane([]string{"a", "b"}[l.all/7%2]) == LaneTarget {
			l.target++
		}
	}
}
