package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The bound of the users' platform on a backend server with a rate limit: within
// limitWindow, limitFactor times what the limit allows and limitSlack more requests.
const (
	limitWindow = 4000 * ms
	limitFactor = 1.5
	limitSlack  = 5
)

// maxInWindow returns the largest number of the times within limitWindow.
func maxInWindow(starts []int64) (most int) {
	first := 0
	for last, at := range starts {
		for at-starts[first] > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func newLimitedGate(slots int) *Gate {
	return New(Options{Slots: slots, QueueLength: 1000, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 2})
}

// limitedLoad sends jobs to a gate whose backend server names a rate limit in each response.
type limitedLoad struct {
	t         *rapid.T
	gate      *Gate
	now       int64
	perSecond float64
	starts    []int64
	running   []*Job
}

func (l *limitedLoad) start(jobs []*Job) {
	for _, job := range jobs {
		l.starts = append(l.starts, l.now)
		l.running = append(l.running, job)
	}
}

// step lets some time pass, in which jobs arrive, end or wait.
func (l *limitedLoad) step() {
	l.now += rapid.Int64Range(0, 30).Draw(l.t, "pause") * ms
	switch rapid.IntRange(0, 3).Draw(l.t, "step") {
	case 0, 1:
		job := &Job{Soft: rapid.Bool().Draw(l.t, "soft"), Work: 20 * time.Millisecond, Deadline: l.now + 3000*ms, EndBy: l.now + 3000*ms, RateLimit: l.perSecond}
		if run, refusal := l.gate.Admit(l.now, job); run && refusal == nil {
			l.start([]*Job{job})
		}
	case 2:
		if len(l.running) > 0 {
			job := l.running[0]
			l.running = l.running[1:]
			l.start(l.gate.Finish(l.now, job, true))
			l.start(l.gate.SetRateLimit(l.now, l.perSecond, true))
		}
	default:
		start, _ := l.gate.Tick(l.now)
		l.start(start)
	}
}

// restart replaces the gate, as when the daemon restarts, which knows nothing of before. The
// senders know the limit.
func (l *limitedLoad) restart() {
	l.now += rapid.Int64Range(0, 1500).Draw(l.t, "downtime") * ms
	l.gate, l.running = newLimitedGate(l.gate.Slots()), nil
}

// TestRateLimitHoldsAcrossRestarts guards against incident LIMIT: within four seconds, a
// backend server gets no more starts than its limit allows, whatever the load, its slots and
// up to three restarts of the daemon.
func TestRateLimitHoldsAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &limitedLoad{t: t, now: 10_000 * ms, perSecond: rapid.Float64Range(0.3, 40).Draw(t, "limit"), gate: newLimitedGate(rapid.IntRange(1, 40).Draw(t, "slots"))}
		for restarts := 0; ; restarts++ {
			for range rapid.IntRange(0, 150).Draw(t, "steps") {
				l.step()
			}
			if restarts == 3 || l.now > 14_000*ms {
				break
			}
			l.restart()
		}
		must.LessEq(t, limitFactor*l.perSecond*float64(limitWindow)/float64(time.Second)+limitSlack, float64(maxInWindow(l.starts)))
	})
}

// TestLimitedBackendServerGetsWhatItAllows checks that jobs that wait start as soon as the
// limit lets them, over ten seconds.
func TestLimitedBackendServerGetsWhatItAllows(t *testing.T) {
	const perSecond, seconds = 5.8, 10
	g := newLimitedGate(6)
	now, started := int64(0), 0
	g.SetRateLimit(now, perSecond, true)
	var running []*Job
	for ; now < seconds*int64(time.Second); now += 10 * ms {
		if g.InFlight() < 10 {
			job := &Job{Work: 20 * time.Millisecond, Deadline: now + 5000*ms, EndBy: now + 5000*ms}
			run, refusal := g.Admit(now, job)
			must.Nil(t, refusal)
			if run {
				running = append(running, job)
				started++
			}
		}
		start, _ := g.Tick(now)
		for _, job := range running {
			start = append(start, g.Finish(now, job, true)...)
		}
		running = start
		started += len(start)
	}
	test.Between(t, perSecond*seconds, float64(started), (perSecond+0.5)*seconds)
}

// TestGateRefusesWhatTheRateLimitDelays: soft jobs go elsewhere at once, and so do jobs that
// would end too late. Others wait for their turn.
func TestGateRefusesWhatTheRateLimitDelays(t *testing.T) {
	g := newLimitedGate(100)
	now := int64(10_000 * ms)
	g.SetRateLimit(now, 2, true)
	newJob := func(timeToEnd int64) *Job {
		return &Job{Work: 20 * time.Millisecond, Deadline: now + 5000*ms, EndBy: now + timeToEnd*ms}
	}
	for range 2 {
		run, refusal := g.Admit(now, newJob(400))
		must.Nil(t, refusal)
		must.True(t, run)
	}
	soft := newJob(400)
	soft.Soft = true
	_, refusal := g.Admit(now, soft)
	must.NotNil(t, refusal)
	_, refusal = g.Admit(now, newJob(400))
	must.NotNil(t, refusal, must.Sprint("the next start is in half a second"))
	waiting := newJob(900)
	run, refusal := g.Admit(now, waiting)
	must.Nil(t, refusal)
	must.False(t, run)
	test.False(t, g.AwaitsReport(now), test.Sprint("no report ends the wait"))
	start, _ := g.Tick(now + 490*ms)
	test.SliceEmpty(t, start)
	start, _ = g.Tick(now + 501*ms)
	test.Eq(t, []*Job{waiting}, start)

	last := newJob(2000)
	_, refusal = g.Admit(now, last)
	must.Nil(t, refusal)
	test.Eq(t, []*Job{last}, g.SetRateLimit(now, 0, false), test.Sprint("the end of the limit starts what waits"))
}

// TestStampTellsTheRateLimit: entries learn from stamps how many jobs may start.
func TestStampTellsTheRateLimit(t *testing.T) {
	g := newLimitedGate(100)
	now := int64(10_000 * ms)
	stamp := g.Stamp(now)
	test.Zero(t, stamp.StartRateMilli)
	g.SetRateLimit(now, 4, true)
	stamp = g.Stamp(now)
	perSecond, tokens := stamp.StartRate()
	test.Eq(t, 4.0, perSecond)
	test.Eq(t, 3.0, tokens)
	for range 4 {
		_, refusal := g.Admit(now, &Job{Work: time.Millisecond, Deadline: now + 5000*ms, EndBy: now + 5000*ms})
		must.Nil(t, refusal)
	}
	stamp = g.Stamp(now)
	_, tokens = stamp.StartRate()
	test.Eq(t, -1.0, tokens, test.Sprint("one job waits"))
	g.SetRateLimit(now, 0, true)
	stamp = g.Stamp(now)
	test.Positive(t, stamp.StartRateMilli, test.Sprint("a limit of 0 is a limit"))
}

// TestGateAssumesTheLimitOfSendersUntilAResponse: a restarted gate learns the limit from the
// requests, and what the backend server says replaces it.
func TestGateAssumesTheLimitOfSendersUntilAResponse(t *testing.T) {
	now := int64(10_000 * ms)
	newJob := func(rateLimit float64) *Job {
		return &Job{Soft: true, Work: time.Millisecond, Deadline: now + 5000*ms, EndBy: now + 5000*ms, RateLimit: rateLimit}
	}
	g := newLimitedGate(100)
	admitted := 0
	for range 20 {
		if run, _ := g.Admit(now, newJob(4)); run {
			admitted++
		}
	}
	test.Eq(t, 3, admitted)
	g.SetRateLimit(now, 0, false)
	run, _ := g.Admit(now, newJob(4))
	test.True(t, run, test.Sprint("the backend server names no limit"))
}

// TestLimitThatEndsAndBeginsAgainAllowsNoMore: a response without the limit, as a damaged one,
// must not give the backend server another bucket of starts each time.
func TestLimitThatEndsAndBeginsAgainAllowsNoMore(t *testing.T) {
	const perSecond = 4
	g := newLimitedGate(1000)
	now := int64(10_000 * ms)
	started := 0
	for range 400 {
		now += 10 * ms
		g.SetRateLimit(now, perSecond, true)
		for range 4 {
			job := &Job{Soft: true, Work: time.Millisecond, Deadline: now + 5000*ms, EndBy: now + 5000*ms}
			if run, _ := g.Admit(now, job); run {
				g.Finish(now, job, true)
				started++
			}
		}
		g.SetRateLimit(now, 0, false)
	}
	test.LessEq(t, limitFactor*perSecond*4+limitSlack, float64(started))
}

// TestStartsWithoutALimitTakeTokensOfTheNext: they count against a limit that begins again
// right after them, but no more than one bucket of them.
func TestStartsWithoutALimitTakeTokensOfTheNext(t *testing.T) {
	g := newLimitedGate(1000)
	now := int64(10_000 * ms)
	g.SetRateLimit(now, 4, true)
	g.SetRateLimit(now, 0, false)
	for range 50 {
		run, refusal := g.Admit(now, &Job{Work: time.Millisecond, Deadline: now + 5000*ms, EndBy: now + 5000*ms})
		must.Nil(t, refusal)
		must.True(t, run)
	}
	g.SetRateLimit(now, 4, true)
	stamp := g.Stamp(now)
	_, tokens := stamp.StartRate()
	test.Eq(t, -3.0, tokens)
}
