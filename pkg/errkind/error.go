package errkind

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is the error with which a call is refused or fails. Detail must not contain the
// body, a key or a header value of a caller's request.
type Error struct {
	Kind   Kind
	Ran    Ran
	Detail string
}

// New returns an error of a kind, with the Ran of the kind's row.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Ran: kind.Row().Ran, Detail: fmt.Sprintf(format, args...)}
}

// WithRanMaybe returns a copy of the error which says that the call may have run.
func (e *Error) WithRanMaybe() *Error {
	result := *e
	result.Ran = RanMaybe
	return &result
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", e.Kind, e.Detail, e.Ran)
}

// RetryElsewhere reports whether the entry may send the call to another executor.
func (e *Error) RetryElsewhere() bool {
	return e.Ran == RanNo && e.Kind.Row().Elsewhere
}

// From returns the Error in the chain of err, or nil if err is nil. Any other error becomes
// one of kind Internal, after which the call may have run.
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
