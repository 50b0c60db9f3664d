package errkind

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is the one error type that crosses package borders on the way of a
// call. Detail never holds a body, a key or a header value of a caller.
type Error struct {
	Kind   Kind
	Ran    Ran
	Detail string
}

// New makes an error that claims what the table allows the kind to claim.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Ran: kind.Row().Ran, Detail: fmt.Sprintf(format, args...)}
}

// WithRanMaybe returns a copy that says the call may have run.
func (e *Error) WithRanMaybe() *Error {
	out := *e
	out.Ran = RanMaybe
	return &out
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", e.Kind, e.Detail, e.Ran)
}

// RetryElsewhere is true when the entry may hand the call to another executor.
func (e *Error) RetryElsewhere() bool {
	return e.Ran == RanNo && e.Kind.Row().Elsewhere
}

// From finds the Error in a chain. An error from elsewhere becomes Internal,
// which claims nothing about whether the call ran.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return New(Internal, "%v", err)
}
