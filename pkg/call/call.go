// Package call holds what the parts on the way of a call hand to each other:
// how a call ends, and who can run one.
package call

import (
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Answer is what the backend server answered.
type Answer struct {
	Status  int
	Headers []wire.Header
	Body    []byte
	// Queued and Run are the time at the gate and at the backend server.
	Queued time.Duration
	Run    time.Duration
	// Slowdown is the one at which the run started, in percent of what is usual;
	// 0: not known.
	Slowdown int
	// CallsFailed is true where calls of the backend server failed during the run, so that
	// a failure of it may be theirs.
	CallsFailed bool
}

// Result is how a call ended at an executor: one of Answer and Refusal is set.
type Result struct {
	Answer  *Answer
	Refusal *errkind.Error
	// FromExecutor is true when this is the executor's own word, and not this side's
	// conclusion from silence.
	FromExecutor bool
	// Offered is true when a routed request reached a backend server, or may
	// have: it counts as an attempt.
	Offered bool
	// Origin is where the route's requests begin, as the executor believes.
	Origin wire.Origin
	// RetryAfter is when a caller that was refused should come back; 0: as the
	// table of error kinds says.
	RetryAfter time.Duration
	// Stamp is the gate's load; Seq 0: none came with this result.
	Stamp wire.Stamp
	// Server and DataCentre say which backend server this end is about.
	Server     string
	DataCentre string
	// MinRTT is the shortest round trip that was measured on the way taken.
	MinRTT time.Duration
	// NextClaim is the claim to try instead when the refusal is KeyMoved.
	NextClaim wire.Claim
}

// Refused makes the Result of a refusal.
func Refused(kind errkind.Kind, format string, args ...any) Result {
	return Result{Refusal: errkind.New(kind, format, args...)}
}

// Runner runs calls: the executor of this daemon, or a link to another one.
type Runner interface {
	// Execute takes a call in and calls done exactly once, from any goroutine.
	// The returned function tells that nobody waits for the call any more.
	Execute(c *wire.Call, body []byte, done func(Result)) (cancel func())
}
