package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// The causes with which the context of a request is cancelled because the drain of this daemon
// ends before the request does.
var (
	// ErrDrainEnding: the caller still gets the result.
	ErrDrainEnding = errors.New("the drain of this daemon is ending")
	// ErrDrainEnded: the connection of the caller is closed.
	ErrDrainEnded = errors.New("the drain of this daemon has ended")
)

// isDrainOver reports whether the end of a drain has cancelled ctx.
func isDrainOver(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause == ErrDrainEnding || cause == ErrDrainEnded
}

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

// cancelGrace is how long the entry waits for the executor's result of an attempt that it has
// cancelled at the end of a drain: only the executor knows whether the request ran.
const cancelGrace = 100 * time.Millisecond

// interrupt cancels the attempt that is awaited because the request's context has ended, and
// returns the request's result. At the end of a drain, this is that of the executor, if it
// arrives in time.
func (a *attempts) interrupt(cancel func()) call.Result {
	cancel()
	if context.Cause(a.ctx) != ErrDrainEnding {
		return a.unanswered(a.interruption())
	}
	timeout := time.NewTimer(cancelGrace)
	defer timeout.Stop()
	for {
		select {
		case end := <-a.ends:
			result, ended := a.handleEnd(end, func() {})
			if !ended {
				continue
			}
			return a.atDrainEnd(result)
		case <-timeout.C:
			return a.unanswered(a.interruption())
		}
	}
}

// atDrainEnd returns the result of the request for that of an attempt that was cancelled at the
// end of a drain.
func (a *attempts) atDrainEnd(result call.Result) call.Result {
	switch {
	case result.Answer != nil:
		return result
	case result.Refusal.Ran == errkind.RanNo && !result.Offered:
		return call.Refused(errkind.Leaving, "the drain of this daemon ended before the request ran")
	}
	return a.unanswered(a.interruption())
}

// interruption returns the refusal of a request whose context has ended while an attempt was
// awaited.
func (a *attempts) interruption() *errkind.Error {
	if isDrainOver(a.ctx) {
		return errkind.New(errkind.DrainEnded, "the drain of this daemon ended before the result arrived")
	}
	return errkind.New(errkind.CallerGone, "the caller disconnected before the result arrived").WithRanMaybe()
}

// interruptedBeforeRun returns the result of a request whose context has ended before the
// named step. It was not sent to a backend server.
func interruptedBeforeRun(ctx context.Context, step string) call.Result {
	if isDrainOver(ctx) {
		return call.Refused(errkind.Leaving, "the drain of this daemon ended before %s", step)
	}
	return call.Refused(errkind.CallerGone, "the caller disconnected before %s", step)
}
