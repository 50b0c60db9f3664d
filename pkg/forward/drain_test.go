package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestInterruptionNamesItsCause: the log must tell a request that the drain has cut from one
// whose caller has disconnected.
func TestInterruptionNamesItsCause(t *testing.T) {
	for name, s := range map[string]struct {
		cause  error
		before bool
		kind   errkind.Kind
		ran    errkind.Ran
	}{
		"caller disconnected while running":  {nil, false, errkind.CallerGone, errkind.RanMaybe},
		"caller disconnected before the run": {nil, true, errkind.CallerGone, errkind.RanNo},
		"drain ended while running":          {ErrDrainEnded, false, errkind.DrainEnded, errkind.RanMaybe},
		"drain ending while running":         {ErrDrainEnding, false, errkind.DrainEnded, errkind.RanMaybe},
		"drain ending before the run":        {ErrDrainEnding, true, errkind.Leaving, errkind.RanNo},
		"drain ended before the run":         {ErrDrainEnded, true, errkind.Leaving, errkind.RanNo},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runner := &fakeRunner{answer: silent}
				f := newForwarder(runner)
				ctx, cancel := context.WithCancelCause(t.Context())
				if s.before {
					cancel(s.cause)
				}
				results := make(chan call.Result, 1)
				go func() { results <- f.Forward(ctx, newRequest("/post/x")) }()
				time.Sleep(100 * time.Millisecond)
				cancel(s.cause)
				result := <-results
				must.NotNil(t, result.Refusal)
				test.Eq(t, s.kind, result.Refusal.Kind)
				test.Eq(t, s.ran, result.Refusal.Ran)
			})
		})
	}
}

// TestRequestThatMayOutliveTheDrainIsRefused: a draining daemon took requests that it could not
// keep until their answer came.
func TestRequestThatMayOutliveTheDrainIsRefused(t *testing.T) {
	const second = int64(time.Second)
	for name, s := range map[string]struct {
		// drainFor and closedIn are in nanoseconds from now.
		drainFor, closedIn int64
		timeout            time.Duration
		refused            bool
		retryAfter         time.Duration
	}{
		"ends before the drain":                  {2 * second, second, time.Second, false, 0},
		"ends with the drain":                    {second, second, time.Second, false, 0},
		"may end after the drain":                {second - 1, second / 5, time.Second, true, time.Second / 5},
		"its caller's timeout is short enough":   {second / 2, second, time.Second / 2, false, 0},
		"its caller cannot wait for the closing": {second / 2, second, time.Second, true, time.Second * 32 / 100},
		"the listener has closed":                {second / 2, -second, time.Second, true, 0},
	} {
		for _, path := range []string{"/read/x", "/post/x"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runner := &fakeRunner{answer: answers(200)}
					f := newForwarder(runner)
					f.Drain(f.Now()+s.drainFor, f.Now()+s.closedIn)
					req := newRequest(path)
					req.Timeout = s.timeout
					result := f.Forward(t.Context(), req)
					if !s.refused {
						must.NotNil(t, result.Answer)
						return
					}
					must.NotNil(t, result.Refusal)
					test.Eq(t, errkind.Leaving, result.Refusal.Kind)
					test.Eq(t, errkind.RanNo, result.Refusal.Ran)
					test.Eq(t, s.retryAfter, result.RetryAfter)
					test.Eq(t, 0, totalCalls(runner))
				})
			})
		}
	}
}

// TestExecutorsWordAtTheEndOfADrain: only the executor knows whether a request that is cancelled
// ran, and its caller must be told.
func TestExecutorsWordAtTheEndOfADrain(t *testing.T) {
	for name, s := range map[string]struct {
		result call.Result
		// after is when the executor answers the cancel.
		after   time.Duration
		refusal errkind.Kind
		ran     errkind.Ran
	}{
		"not run":        {call.Refused(errkind.CallerGone, ""), cancelGrace / 2, errkind.Leaving, errkind.RanNo},
		"may have run":   {call.Result{Offered: true, Refusal: errkind.New(errkind.CallerGone, "")}, cancelGrace / 2, errkind.DrainEnded, errkind.RanMaybe},
		"answered":       {call.Result{Offered: true, Answer: &call.Answer{Status: 200}}, cancelGrace / 2, errkind.None, errkind.RanNo},
		"no word":        {call.Refused(errkind.CallerGone, ""), 2 * cancelGrace, errkind.DrainEnded, errkind.RanMaybe},
		"link has ended": {call.Refused(errkind.LinkLost, ""), cancelGrace / 2, errkind.DrainEnded, errkind.RanMaybe},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				f := newForwarder(&fakeRunner{answer: silent})
				candidate := &f.view.Service("s").Match("GET", "/post/x").LinkedCandidates[0]
				candidate.Endpoint.SetRunner(runnerOnCancel(func(done func(call.Result)) {
					time.AfterFunc(s.after, func() { done(s.result) })
				}))
				results := make(chan call.Result, 1)
				go func() { results <- f.Forward(ctx, newRequest("/post/x")) }()
				time.Sleep(100 * time.Millisecond)
				cancel(ErrDrainEnding)
				result := <-results
				if s.refusal == errkind.None {
					must.NotNil(t, result.Answer)
					return
				}
				must.NotNil(t, result.Refusal)
				test.Eq(t, s.refusal, result.Refusal.Kind)
				test.Eq(t, s.ran, result.Refusal.Ran)
				time.Sleep(time.Second)
			})
		})
	}
}

// runnerOnCancel is a runner whose calls end as the function does when they are cancelled.
type runnerOnCancel func(done func(call.Result))

func (r runnerOnCancel) Execute(_ *wire.Call, _ []byte, done func(call.Result)) (cancel func()) {
	return func() { r(done) }
}
