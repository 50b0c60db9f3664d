package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
)

// TestCallThatMayOutliveTheDrainIsRefused: a draining executor took calls whose runs it cut.
// Their entries may send them to another one.
func TestCallThatMayOutliveTheDrainIsRefused(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 2)
	r.Drain(r.Now() + int64(30*time.Second))
	results, _ := execute(r, routedCall("a"))
	refused := <-results
	must.NotNil(t, refused.Refusal)
	test.Eq(t, errkind.Leaving, refused.Refusal.Kind)
	test.True(t, refused.Refusal.RetryElsewhere())

	h.proceed <- struct{}{}
	c := routedCall("b")
	c.Remaining = 15 * time.Second
	results, _ = execute(r, c)
	test.NotNil(t, (<-results).Answer)
}
