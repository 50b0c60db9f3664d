package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// quietRunner is the runner of a link whose peer may give signs of life.
type quietRunner struct {
	fakeRunner
	heard  func() time.Duration
	probes int
}

func (q *quietRunner) Silence() time.Duration { return q.heard() }
func (q *quietRunner) Probe()                 { q.probes++ }

// withRunner puts a runner in the place of the first backend server's.
func withRunner(f *Forwarder, r call.Runner) {
	f.view.Service("s").Match("GET", "/").LinkedCandidates[0].Endpoint.SetRunner(r)
}

func TestARequestThatMayBeRepeatedLeavesASilentExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		dead := &quietRunner{fakeRunner: fakeRunner{answer: silent}, heard: func() time.Duration { return time.Since(began) + time.Second }}
		alive := &fakeRunner{answer: refuses(errkind.GateBusier, false)}
		f := newForwarder(&fakeRunner{}, alive)
		withRunner(f, dead)
		alive.answer = func(c *wire.Call) (call.Result, bool) {
			if len(dead.calls) == 0 {
				return call.Refused(errkind.GateBusier, ""), false
			}
			return answers(200)(c)
		}
		got := f.Forward(t.Context(), request("/read/"))
		must.NotNil(t, got.Answer)
		test.Eq(t, probeAfter+silentAfter, time.Since(began))
		test.Eq(t, 1, dead.probes)
		test.Eq(t, 1, dead.cancelled)
		// The next request does not ask it first.
		got = f.Forward(t.Context(), request("/read/"))
		must.NotNil(t, got.Answer)
		test.Len(t, 1, dead.calls)
	})
}

func TestAnExecutorThatGivesSignsOfLifeIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &quietRunner{fakeRunner: fakeRunner{answer: silent}, heard: func() time.Duration { return time.Millisecond }}
		f := newForwarder(&fakeRunner{})
		withRunner(f, slow)
		began := time.Now()
		got := f.Forward(t.Context(), request("/read/"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.DeadlineWhileRunning, got.Refusal.Kind)
		test.Eq(t, time.Second+grace, time.Since(began))
		test.Eq(t, 0, slow.probes)
	})
}

func TestAPostStaysWithASilentExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := &quietRunner{fakeRunner: fakeRunner{answer: silent}, heard: func() time.Duration { return time.Hour }}
		other := &fakeRunner{answer: answers(200)}
		f := newForwarder(&fakeRunner{}, other)
		withRunner(f, dead)
		other.answer = func(c *wire.Call) (call.Result, bool) {
			if len(dead.calls) == 0 {
				return call.Refused(errkind.BackendAbsent, ""), false
			}
			return answers(200)(c)
		}
		got := f.Forward(t.Context(), request("/post/"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
		test.Len(t, 1, dead.calls)
	})
}

// TestASilentExecutorIsWaitedForWhereNothingElseMayBeTried: a request that was
// given up for its executor's silence, with no retry left to spend, was answered
// 502 while its backend server was at work on it; the answer came 100 ms later.
func TestASilentExecutorIsWaitedForWhereNothingElseMayBeTried(t *testing.T) {
	for name, prepare := range map[string]func(f *Forwarder){
		"no retry left": func(f *Forwarder) {
			f.budgets.of("s").request()
			for f.budgets.take("s") {
			}
		},
		"no other backend server": func(f *Forwarder) {
			kind := f.view.Service("s").Match("GET", "/")
			kind.LinkedCandidates = kind.LinkedCandidates[:1]
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				dead := &lateRunner{quietRunner{heard: func() time.Duration { return time.Since(began) + time.Second }}}
				f := newForwarder(&fakeRunner{}, &fakeRunner{answer: answers(200)})
				withRunner(f, dead)
				f.view.Service("s").Match("GET", "/").LinkedCandidates[1].Load.MarkUnresponsive(f.Now())
				prepare(f)
				got := f.Forward(t.Context(), request("/read/"))
				must.NotNil(t, got.Answer)
				test.Eq(t, lateAfter, time.Since(began))
			})
		})
	}
}

// lateAfter is when a lateRunner answers: long after its silence is known.
const lateAfter = probeAfter + silentAfter + 100*time.Millisecond

// lateRunner says nothing for a long time, and then answers.
type lateRunner struct{ quietRunner }

func (l *lateRunner) Execute(_ *wire.Call, _ []byte, done func(call.Result)) (cancel func()) {
	timer := time.AfterFunc(lateAfter, func() { done(call.Result{Answer: &call.Answer{Status: 200}, Offered: true}) })
	return func() { timer.Stop() }
}
