package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

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
	after, cause := d.node.ReturnTime(d.now(w.now), w.team, honouredInModel, v.RetryAfter)
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
	// ignores is true for a caller that retries after ignoredAfter, whatever it is told.
	ignores bool
	// returnAt is the time of the next retry; 0 while a request is unanswered.
	returnAt int64
	// told is true while the caller waits for a return time with a reserved token.
	told   bool
	waiter   *waiter
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
	maxRetries int
	callers    []*caller
	// served, notServed and refusals count the ended callers and the answers 429;
	// servedOnReturn counts those that were served by a retry.
	served, notServed, refusals, servedOnReturn int
	// told counts the callers that were told a reserved time, toldServed those of them that
	// were served when they came back at it.
	told, toldServed int
	servedAt                                    []int64
}

// arrive adds a caller, which sends its first request.
func (m *callersModel) arrive() {
	c := &caller{daemon: m.random.IntN(len(m.daemons)), deadline: m.now + int64(callerTimeout), ignores: m.random.Float64() < ignoringShare}
	m.callers = append(m.callers, c)
	m.send(c)
}

func (m *callersModel) send(c *caller) {
	d := m.daemons[c.daemon]
	c.returnAt = 0
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
		if c.retries > 0 {
			m.servedOnReturn++
		}
		c.deadline = 0
		return
	}
	m.refusals++
	left := time.Duration(c.deadline - m.now)
	d := m.daemons[c.daemon]
	honoured := time.Duration(honouredShare * float64(left))
	after, cause := d.node.ReturnTime(d.now(m.now), m.team, honoured, v.RetryAfter)
	if after = min(after, left/3); c.ignores {
		after = ignoredAfter
	}
	if c.retries++; c.retries > m.maxRetries || left-after < minUsefulTime {
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
func newCallersModel(limit teams.Limit, seed uint64, maxRetries int, withoutReturns bool) *callersModel {
	const daemons = 12
	m := &callersModel{world: newWorld(daemons, limit, seed), maxRetries: maxRetries}
	m.withoutReturns = withoutReturns
	for _, d := range m.daemons {
		m.start(d, false)
	}
	m.run(0, 3*time.Second, nil)
	return m
}

// load sends perSecond new requests per second for a time, and lets all callers end.
func (m *callersModel) load(perSecond float64, duration time.Duration) {
	pending := 0.0
	m.run(0, duration, func(int) {
		for pending += perSecond * stepDuration.Seconds(); pending >= 1; pending-- {
			m.arrive()
		}
		m.stepCallers()
	})
}

// overload runs a team at times its limit for 6 s and returns the model after it.
func overload(limit teams.Limit, seed uint64, times float64, maxRetries int, withoutReturns bool) *callersModel {
	m := newCallersModel(limit, seed, maxRetries, withoutReturns)
	m.load(times*limit.Rate, 6*time.Second)
	m.load(0, 2*time.Second)
	return m
}

// TestMeasureReturns prints the figures of docs/design/return-times.md.
func TestMeasureReturns(t *testing.T) {
	for _, retries := range []int{2, 20} {
		for _, rate := range []float64{2, 20, 200} {
			for _, off := range []bool{true, false} {
				m := overload(teams.Limit{Rate: rate, Burst: rate}, 1, 5, retries, off)
				t.Log(fmt.Sprintf("retries %d rate %v off %v: told %d/%d served %d (on return %d) not served %d refusals %d ratio %.2f max window %d of %.0f stats %+v", retries, rate, off, m.toldServed, m.told, m.served, m.servedOnReturn, m.notServed, m.refusals, float64(m.refusals)/float64(m.notServed), m.maxInWindow(), maxRequests(m.limit), m.daemons[0].node.Stats()))
			}
		}
	}
	must.True(t, true)
	test.True(t, true)
}
