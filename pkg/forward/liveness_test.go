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

// livenessRunner is a fakeRunner with liveness, as a link to another daemon has.
type livenessRunner struct {
	fakeRunner
	silence func() time.Duration
	probes  int
}

func (r *livenessRunner) Silence() time.Duration { return r.silence() }
func (r *livenessRunner) Probe()                 { r.probes++ }

// replaceFirstRunner replaces the runner of the first backend server.
func replaceFirstRunner(f *Forwarder, r call.Runner) {
	f.view.Service("s").Match("GET", "/").LinkedCandidates[0].Endpoint.SetRunner(r)
}

func TestARepeatableRequestLeavesAnUnresponsiveExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		dead := &livenessRunner{fakeRunner: fakeRunner{answer: silent}, silence: func() time.Duration { return time.Since(startedAt) + time.Second }}
		alive := &fakeRunner{answer: refuses(errkind.GateBusier, false)}
		f := newForwarder(&fakeRunner{}, alive)
		replaceFirstRunner(f, dead)
		alive.answer = func(c *wire.Call) (call.Result, bool) {
			if len(dead.calls) == 0 {
				return call.Refused(errkind.GateBusier, ""), false
			}
			return answers(200)(c)
		}
		got := f.Forward(t.Context(), newRequest("/read/"))
		must.NotNil(t, got.Answer)
		test.Eq(t, probeAfter+unresponsiveAfter, time.Since(startedAt))
		test.Eq(t, 1, dead.probes)
		test.Eq(t, 1, dead.cancelled)
		// The next request avoids the unresponsive executor.
		got = f.Forward(t.Context(), newRequest("/read/"))
		must.NotNil(t, got.Answer)
		test.Len(t, 1, dead.calls)
	})
}

func TestAnExecutorThatGivesSignsOfLifeIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &livenessRunner{fakeRunner: fakeRunner{answer: silent}, silence: func() time.Duration { return time.Millisecond }}
		f := newForwarder(&fakeRunner{})
		replaceFirstRunner(f, slow)
		startedAt := time.Now()
		got := f.Forward(t.Context(), newRequest("/read/"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.DeadlineWhileRunning, got.Refusal.Kind)
		test.Eq(t, time.Second+answerGrace, time.Since(startedAt))
		test.Eq(t, 0, slow.probes)
	})
}

func TestAPostStaysWithAnUnresponsiveExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := &livenessRunner{fakeRunner: fakeRunner{answer: silent}, silence: func() time.Duration { return time.Hour }}
		other := &fakeRunner{answer: answers(200)}
		f := newForwarder(&fakeRunner{}, other)
		replaceFirstRunner(f, dead)
		other.answer = func(c *wire.Call) (call.Result, bool) {
			if len(dead.calls) == 0 {
				return call.Refused(errkind.BackendAbsent, ""), false
			}
			return answers(200)(c)
		}
		got := f.Forward(t.Context(), newRequest("/post/"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
		test.Len(t, 1, dead.calls)
	})
}

// TestAnUnresponsiveExecutorIsWaitedForWhereTheRequestCannotGoElsewhere: a request whose
// executor was unresponsive was once given up although the retry budget was empty. It was
// answered 502 while its backend server was running it; the answer came 100 ms later.
func TestAnUnresponsiveExecutorIsWaitedForWhereTheRequestCannotGoElsewhere(t *testing.T) {
	for name, prepare := range map[string]func(f *Forwarder){
		"no retry left": func(f *Forwarder) {
			f.budgets.forService("s").addRequest()
			for f.budgets.take(t.Context(), "s") == "" {
			}
		},
		"no other backend server": func(f *Forwarder) {
			kind := f.view.Service("s").Match("GET", "/")
			kind.LinkedCandidates = kind.LinkedCandidates[:1]
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				dead := &lateRunner{livenessRunner{silence: func() time.Duration { return time.Since(startedAt) + time.Second }}}
				f := newForwarder(&fakeRunner{}, &fakeRunner{answer: answers(200)})
				replaceFirstRunner(f, dead)
				f.view.Service("s").Match("GET", "/").LinkedCandidates[1].Load.MarkUnresponsive(f.Now())
				prepare(f)
				got := f.Forward(t.Context(), newRequest("/read/"))
				must.NotNil(t, got.Answer)
				test.Eq(t, lateAfter, time.Since(startedAt))
			})
		})
	}
}

// lateAfter is how long a lateRunner takes to answer: longer than it takes to detect that
// it is unresponsive.
const lateAfter = probeAfter + unresponsiveAfter + 100*time.Millisecond

// lateRunner answers each call after lateAfter.
type lateRunner struct{ livenessRunner }

func (l *lateRunner) Execute(_ *wire.Call, _ []byte, done func(call.Result)) (cancel func()) {
	timer := time.AfterFunc(lateAfter, func() { done(call.Result{Answer: &call.Answer{Status: 200}, Offered: true}) })
	return func() { timer.Stop() }
}

// TestAnUnresponsiveExecutorIsHeardWhereAllOthersRefuse: the attempt at an unresponsive executor was
// cancelled before the others, which drain, had refused the request. It was answered 502 while
// its backend server was running it.
func TestAnUnresponsiveExecutorIsHeardWhereAllOthersRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		stalled := &lateRunner{livenessRunner{silence: func() time.Duration { return time.Since(startedAt) + time.Second }}}
		f := newForwarder(&fakeRunner{}, &fakeRunner{answer: refuses(errkind.Leaving, false)})
		replaceFirstRunner(f, stalled)
		f.view.Service("s").Match("GET", "/").LinkedCandidates[1].Load.MarkUnresponsive(f.Now())
		got := f.Forward(t.Context(), newRequest("/read/"))
		must.NotNil(t, got.Answer)
		test.Eq(t, lateAfter, time.Since(startedAt))
	})
}
