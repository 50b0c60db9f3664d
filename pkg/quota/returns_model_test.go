package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/teams"
)

// returnModel lets refused requests of a world come back once, at the time told, to the
// daemon that refused them.
type returnModel struct{ due []dueReturn }

type dueReturn struct {
	at     int64
	daemon int
}

// honouredInModel is the longest return time that the callers of a returnModel honour.
const honouredInModel = 640 * time.Millisecond

// refused schedules the return of a request, if it was refused because of the limit.
func (m *returnModel) refused(w *world, d *daemonModel, v Verdict) {
	if m == nil || v.Granted || v.Unsure {
		return
	}
	after, cause := d.node.ReturnTime(d.now(w.now), w.team, callerWith(honouredInModel, v.RetryAfter))
	if cause == ReturnReserved {
		for i, other := range w.daemons {
			if other == d {
				m.due = append(m.due, dueReturn{at: w.now + int64(after), daemon: i})
			}
		}
	}
}

// sendDue sends the requests that come back now.
func (m *returnModel) sendDue(w *world) {
	if m == nil {
		return
	}
	remaining := m.due[:0]
	for _, r := range m.due {
		if r.at > w.now {
			remaining = append(remaining, r)
			continue
		}
		defer w.request(r.daemon)
	}
	m.due = remaining
}

// caller is a simulated caller of a team: it makes one request and, where it is refused,
// up to maxRetries more.
type caller struct {
	daemon   int
	deadline int64
	retries  int
	// startedAt is the time of its first request, sentAt that of its newest one.
	startedAt, sentAt int64
	// ignores is true for a caller that retries after ignoredAfter, whatever it is told.
	ignores bool
	// returnAt is the time of the next retry; 0 while a request is unanswered.
	returnAt int64
	// told is true while the caller waits for a return time with a reserved token.
	told   bool
	waiter *waiter
}

// callerKind is how the callers of a model behave.
type callerKind struct {
	timeout    time.Duration
	maxRetries int
	// target is the time from its first request within which a caller is to be answered,
	// runTime the time from a token to the answer.
	target, runTime time.Duration
}

// patientFor returns callers with a second, which have no target of their own.
func patientFor(maxRetries int) callerKind {
	return callerKind{timeout: callerTimeout, maxRetries: maxRetries, target: callerTimeout}
}

const (
	callerTimeout = time.Second
	// honouredShare is the share of the time left that a caller waits at most.
	honouredShare = 0.32
	ignoredAfter  = 50 * time.Millisecond
	// ignoringShare is the share of callers that ignore Retry-After.
	ignoringShare = 0.1
	// minUsefulTime is the time left below which a caller does not retry.
	minUsefulTime = 200 * time.Millisecond
)

// callersModel simulates the callers of one team over a world.
type callersModel struct {
	*world
	// team is the callers' team; its limit is that of the world.
	team    string
	kind    callerKind
	callers []*caller
	// served, notServed and refusals count the ended callers and the answers 429;
	// servedOnReturn counts those that were served by a retry.
	served, notServed, refusals, servedOnReturn int
	// inTarget counts the callers that were answered within their target.
	inTarget int
	// told counts the callers that were told a reserved time, toldServed those of them that
	// were served when they came back at it.
	told, toldServed int
}

// arrive adds a caller, which sends its first request.
func (m *callersModel) arrive() {
	c := &caller{daemon: m.random.IntN(len(m.daemons)), startedAt: m.now, deadline: m.now + int64(m.kind.timeout), ignores: m.random.Float64() < ignoringShare}
	m.callers = append(m.callers, c)
	m.send(c)
}

func (m *callersModel) send(c *caller) {
	d := m.daemons[c.daemon]
	c.returnAt, c.sentAt = 0, m.now
	var v Verdict
	if c.waiter, v = d.node.takeOrWait(d.now(m.now), m.team); c.waiter == nil {
		m.end(c, v)
	}
}

// end handles the verdict on a caller's request.
func (m *callersModel) end(c *caller, v Verdict) {
	c.waiter = nil
	if c.told {
		m.told++
		if v.Granted {
			m.toldServed++
		}
	}
	c.told = false
	if v.Granted {
		m.grantedAt = append(m.grantedAt, m.now)
		m.served++
		if time.Duration(m.now-c.startedAt)+m.kind.runTime <= m.kind.target {
			m.inTarget++
		}
		if c.retries > 0 {
			m.servedOnReturn++
		}
		c.deadline = 0
		return
	}
	m.refusals++
	left := time.Duration(c.deadline - m.now)
	d := m.daemons[c.daemon]
	refused := RefusedCaller{
		Honoured: time.Duration(honouredShare * float64(left)),
		// An entry does not know of earlier requests of the caller.
		Useful:    m.kind.target - time.Duration(m.now-c.sentAt) - m.kind.runTime,
		NextToken: v.RetryAfter,
	}
	after, cause := d.node.ReturnTime(d.now(m.now), m.team, refused)
	if after = min(after, left/3); c.ignores {
		after = ignoredAfter
	}
	if c.retries++; c.retries > m.kind.maxRetries || left-after < minUsefulTime {
		m.notServed++
		c.deadline = 0
		return
	}
	c.returnAt, c.told = m.now+int64(after), cause == ReturnReserved && !c.ignores
}

// stepCallers polls the waiting callers and sends those whose time has come.
func (m *callersModel) stepCallers() {
	remaining := m.callers[:0]
	for _, c := range m.callers {
		if c.waiter != nil {
			select {
			case v := <-c.waiter.verdict:
				m.end(c, v)
			default:
				if m.now >= c.deadline {
					m.daemons[c.daemon].node.giveUp(m.team, c.waiter)
					m.notServed++
					c.deadline = 0
				}
			}
		}
		if c.deadline > 0 && c.returnAt > 0 && c.returnAt <= m.now {
			m.send(c)
		}
		if c.deadline > 0 {
			remaining = append(remaining, c)
		}
	}
	m.callers = remaining
}

// newCallersModel returns a model of 12 daemons that have run for a while.
func newCallersModel(limit teams.Limit, seed uint64, kind callerKind, withoutReturns bool) *callersModel {
	const daemons = 12
	m := &callersModel{world: newWorld(daemons, limit, seed), kind: kind, team: "red"}
	m.withoutReturns = withoutReturns
	for _, d := range m.daemons {
		m.start(d, false)
	}
	m.run(0, 3*time.Second, nil)
	return m
}

// arrivals returns a function that advances the callers by a step, in which perSecond new
// ones arrive per second.
func (m *callersModel) arrivals(perSecond float64) func() {
	pending := 0.0
	return func() {
		for pending += perSecond * stepDuration.Seconds(); pending >= 1; pending-- {
			m.arrive()
		}
		m.stepCallers()
	}
}

// load lets perSecond new callers arrive per second for a time. beside, if not nil, is
// called in each step.
func (m *callersModel) load(perSecond float64, duration time.Duration, beside func()) {
	arrivals := m.arrivals(perSecond)
	m.run(0, duration, func(int) {
		arrivals()
		if beside != nil {
			beside()
		}
	})
}

// overloadedCallers runs a team at times its limit for 6 s and returns the model after it.
func overloadedCallers(limit teams.Limit, seed uint64, times float64, kind callerKind, withoutReturns bool) *callersModel {
	m := newCallersModel(limit, seed, kind, withoutReturns)
	m.load(times*limit.Rate, 6*time.Second, nil)
	m.load(0, 2*kind.timeout, nil)
	return m
}

// total sums the outcomes of the callers of teams of all rates and two seeds.
func total(times float64, kind callerKind, withoutReturns bool) (out callersModel) {
	for _, rate := range teamRates {
		for seed := range uint64(2) {
			m := overloadedCallers(teams.Limit{Rate: rate, Burst: rate}, seed, times, kind, withoutReturns)
			out.served += m.served
			out.notServed += m.notServed
			out.refusals += m.refusals
			out.inTarget += m.inTarget
			out.servedOnReturn += m.servedOnReturn
			out.told += m.told
			out.toldServed += m.toldServed
		}
	}
	return out
}

// refusalsPerUnserved is the number of answers 429 for each caller that was not served.
func (m *callersModel) refusalsPerUnserved() float64 {
	return float64(m.refusals) / float64(m.notServed)
}

// TestReturnTimesSaveRefusals of a team at 5 times its limit, and serve no fewer callers,
// within one in a hundred. Callers that retry twice and are not served get three refusals
// whatever they are told, so that return times save refusals only of those that retry more
// often.
func TestReturnTimesSaveRefusals(t *testing.T) {
	for _, retries := range []int{2, 10} {
		before, after := total(5, patientFor(retries), true), total(5, patientFor(retries), false)
		for _, m := range []*callersModel{&before, &after} {
			t.Logf("%d retries: %.2f refusals per caller not served; %d served, %d of them on return, %d not; %d of %d served at a reserved time", retries, m.refusalsPerUnserved(), m.served, m.servedOnReturn, m.notServed, m.toldServed, m.told)
		}
		test.GreaterEq(t, 0.99*float64(before.served), float64(after.served))
		if retries > 2 {
			test.Less(t, before.refusalsPerUnserved(), after.refusalsPerUnserved())
		}
		test.Positive(t, after.toldServed)
	}
}

// TestCallersServedWithinTheirTarget: callers that are sent away for longer than their
// target take tokens that others would have used in time.
func TestCallersServedWithinTheirTarget(t *testing.T) {
	kind := callerKind{timeout: 4 * time.Second, maxRetries: 2, target: 600 * time.Millisecond, runTime: 100 * time.Millisecond}
	off, on := total(5, kind, true), total(5, kind, false)
	for _, m := range []*callersModel{&off, &on} {
		t.Logf("%d served, %d of them within the target and %d on return, %d not; %.2f refusals per caller not served", m.served, m.inTarget, m.servedOnReturn, m.notServed, m.refusalsPerUnserved())
	}
	test.GreaterEq(t, off.inTarget, on.inTarget)
	test.GreaterEq(t, off.served, on.served)
}

// TestOtherTeamsAreUndisturbed: a team within its limit, counted by the same daemon as one
// at 5 times its own.
func TestOtherTeamsAreUndisturbed(t *testing.T) {
	for _, rate := range teamRates {
		red := newCallersModel(teams.Limit{Rate: rate, Burst: rate}, 7, patientFor(2), false)
		blue := &callersModel{world: red.world, kind: red.kind, team: teamOfGroup(GroupOf(red.team))}
		red.load(0.9*rate, time.Second, nil)
		red.load(5*rate, 6*time.Second, blue.arrivals(0.9*rate))
		red.load(0, 2*time.Second, blue.stepCallers)
		served := float64(blue.served) / float64(blue.served+blue.notServed)
		test.GreaterEq(t, 0.999, served, test.Sprintf("rate %g", rate))
		test.Positive(t, red.notServed)
	}
}

// teamOfGroup returns the name of a team in a group.
func teamOfGroup(group int) string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("blue-", i); GroupOf(name) == group {
			return name
		}
	}
}
