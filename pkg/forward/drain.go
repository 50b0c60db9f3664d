package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// ErrDrainEnded is the cause with which the context of a request is cancelled when the drain
// of this daemon ends before the request does.
var ErrDrainEnded = errors.New("the drain of this daemon has ended")

// drainTimes are the times of a drain, in nanoseconds of the daemon's clock.
type drainTimes struct {
	// lastDeadline is the latest deadline that a request may have to be forwarded.
	lastDeadline int64
	// closedAt is when the listener closes, so that callers turn to other daemons.
	closedAt int64
}

// Drain makes the forwarder refuse requests whose deadline is after lastDeadline: they might be
// cut while they run. closedAt is when the listener closes. Both are in nanoseconds of the
// daemon's clock.
func (f *Forwarder) Drain(lastDeadline, closedAt int64) {
	f.drain.Store(&drainTimes{lastDeadline: lastDeadline, closedAt: closedAt})
}

// drainRefusal returns the refusal of a request that might outlive the drain; nil: it may be
// forwarded. The caller is told to return once it can reach another daemon, in so far as it
// honours that.
func (a *attempts) drainRefusal() *call.Result {
	drain := a.forwarder.drain.Load()
	if drain == nil || a.deadline <= drain.lastDeadline {
		return nil
	}
	out := call.Refused(errkind.Leaving, "the request may take longer than the drain of this daemon")
	untilClosed := time.Duration(drain.closedAt - a.forwarder.Now())
	out.RetryAfter = min(max(untilClosed, 0), a.honouredTime())
	return &out
}

// interruption returns the refusal of a request whose context has ended while an attempt was
// awaited.
func (a *attempts) interruption() *errkind.Error {
	if context.Cause(a.ctx) == ErrDrainEnded {
		return errkind.New(errkind.DrainEnded, "the drain of this daemon ended before the result arrived")
	}
	return errkind.New(errkind.CallerGone, "the caller disconnected before the result arrived").WithRanMaybe()
}

// interruptedBeforeRun returns the result of a request whose context has ended before the
// named step. It was not sent to a backend server.
func interruptedBeforeRun(ctx context.Context, step string) call.Result {
	if context.Cause(ctx) == ErrDrainEnded {
		return call.Refused(errkind.Leaving, "the drain of this daemon ended before %s", step)
	}
	return call.Refused(errkind.CallerGone, "the caller disconnected before %s", step)
}
