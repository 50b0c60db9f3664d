package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
)

// TestWhenACallerComesBack: soon where it can still be in time, else as late as it
// heeds, so that it takes the place of no first try while all backend servers are cold.
func TestWhenACallerComesBack(t *testing.T) {
	f := newForwarder(&fakeRunner{answer: refuses(errkind.Overloaded, false)})
	after := func(soon time.Duration) time.Duration {
		f.Settings.Routing.RetryAfter = soon
		got := f.Forward(t.Context(), request("/read/"))
		must.NotNil(t, got.Refusal)
		return got.RetryAfter
	}
	// The target is 400 ms and the run is guessed to take 120 ms; callers wait for 1 s.
	test.Eq(t, 100*time.Millisecond, after(100*time.Millisecond))
	test.Between(t, 300*time.Millisecond, after(290*time.Millisecond), 320*time.Millisecond)
	test.Between(t, 300*time.Millisecond, after(time.Second), 320*time.Millisecond)
}
