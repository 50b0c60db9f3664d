package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// timedRequest is a request whose caller waits for a time.
func timedRequest(path string, waits time.Duration) *Request {
	req := request(path)
	req.Timeout = waits
	return req
}

// TestACallerThatComesBackIsHeldToItsFirstTry: after a loss of power most requests
// are late already. Gates are told so, and need not hold a slot for one in place of
// another that can still be in time.
func TestACallerThatComesBackIsHeldToItsFirstTry(t *testing.T) {
	r := &fakeRunner{answer: answers(200)}
	f := newForwarder(r)
	const waits = 900 * time.Millisecond
	for range 20 {
		must.NotNil(t, f.Forward(t.Context(), timedRequest("/read/1", waits)).Answer)
	}
	target := func(path string, since time.Duration) time.Duration {
		must.NotNil(t, f.Forward(t.Context(), timedRequest(path, waits-since)).Answer)
		return r.calls[len(r.calls)-1].Routed.Target
	}
	test.Between(t, 300*time.Millisecond, target("/read/1", 0), 400*time.Millisecond)
	test.Between(t, 0, target("/read/1", 300*time.Millisecond), 100*time.Millisecond)
	test.Less(t, 0, target("/read/1", 600*time.Millisecond))
	test.Between(t, 300*time.Millisecond, target("/post/1", 600*time.Millisecond), 400*time.Millisecond,
		test.Sprint("nothing is known of this route's callers"))
}
