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
