package callers

import (
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// TestRefusedCallerIsToldWhenToRetry guards against a refusal that knows when the call may run,
// as that of quarantined content, and tells the time of its error kind.
func TestRefusedCallerIsToldWhenToRetry(t *testing.T) {
	for _, s := range []struct {
		retryAfter       time.Duration
		seconds, inMilli string
	}{
		{0, "1", "200"}, {9 * time.Minute, "540", "540000"}, {1500*time.Millisecond + 1, "2", "1501"},
	} {
		c := app.NewContext(0)
		(&Server{}).writeResult(c, call.Result{Refusal: errkind.New(errkind.Overloaded, ""), RetryAfter: s.retryAfter})
		test.Eq(t, s.seconds, string(c.Response.Header.Peek("Retry-After")))
		test.Eq(t, s.inMilli, string(c.Response.Header.Peek("Rushramp-Retry-After-Ms")))
	}
}
