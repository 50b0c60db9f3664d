// Package call holds the types in which the executor and the links report to the entry
// how a call ended, and the Runner that runs a call.
package call

import (
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Answer is the HTTP response of a backend server.
type Answer struct {
	Status  int
	Headers []wire.Header
	Body    []byte
	// Queued is the time that the call waited at the gate, Run the time that it ran
	// at the backend server.
	Queued time.Duration
	Run    time.Duration
	// Slowdown is the backend server's slowdown when the run started, in percent of
	// its normal run time; 0 if unknown.
	Slowdown int
	// CallsFailed is true when calls that the backend server made to other services
	// failed during the run, so that they may be the cause of a failed answer.
	CallsFailed bool
}

// Result is how a call ended at an executor. Exactly one of Answer and Refusal is set.
type Result struct {
	Answer  *Answer
	Refusal *errkind.Error
	// FromExecutor is true when the executor reported the result, and false when the
	// entry concluded it from a lost link or a timeout.
	FromExecutor bool
	// Offered is true when a routed request reached a backend server, or may have
	// reached one: it then counts towards the attempts that the route allows.
	Offered bool
	// Origin is what the executor has inferred about where the requests of the route
	// come from.
	Origin wire.Origin
	// RetryAfter is when a refused caller should retry; 0: after the default time of
	// the error kind.
	RetryAfter time.Duration
	// Stamp is the load report of the gate; Seq 0: the result came without one.
	Stamp wire.Stamp
	// Server is the VM of the backend server that the result concerns, DataCentre its
	// data centre.
	Server     string
	DataCentre string
	// MinRTT is the shortest round-trip time measured on the link to the executor.
	MinRTT time.Duration
	// NextClaim is the claim to retry with when the refusal is of kind KeyMoved.
	NextClaim wire.Claim
}

// Refused returns a Result that holds a refusal and nothing else.
func Refused(kind errkind.Kind, format string, args ...any) Result {
	return Result{Refusal: errkind.New(kind, format, args...)}
}

// Runner runs calls. It is the executor of this daemon, or a link to that of another
// daemon.
type Runner interface {
	// Execute starts a call and invokes done exactly once with its result, from any
	// goroutine. The caller invokes cancel when it no longer needs the result.
	Execute(c *wire.Call, body []byte, done func(Result)) (cancel func())
}

// Offerer is implemented by a Runner that decides whether to admit a call before its body
// has been transferred.
type Offerer interface {
	// Offer decides on a call whose body has not arrived. If it refuses the call, it invokes
	// done with the refusal and returns nil. Otherwise done is invoked exactly once later,
	// also if the call ends without having started. transfer is the expected time until the
	// whole body has arrived.
	Offer(c *wire.Call, transfer time.Duration, done func(Result)) Offered
}

// Offered is a call that holds a place at its gate while its body is on the way.
type Offered interface {
	// Rank orders calls at the gate, lowest first. StartBy is the latest time at which it is
	// worth starting the run, in nanoseconds of the daemon's clock.
	Rank() uint16
	StartBy() int64
	// Start passes the whole body to the gate, which starts the call, lets it wait or refuses
	// it. The caller invokes cancel when the result is no longer needed.
	Start(body []byte) (cancel func())
	// Withdraw gives the place back and ends the call with a refusal, which says that it did
	// not run. It has no effect after Start.
	Withdraw(refusal *errkind.Error)
}
