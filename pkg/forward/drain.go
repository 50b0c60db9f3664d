package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// ErrDrainEnded is the cause with which the context of a request is cancelled when the drain
// of this daemon ends before the request does.
var ErrDrainEnded = errors.New("the drain of this daemon has ended")

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
