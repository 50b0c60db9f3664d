// Package entry receives calls: it finds the kind of each call, checks that the call
// may be handled in this data centre, chooses a backend server, retries a call that did
// not run, and returns the answer. Source: docs/DESIGN.md, "The way of a call".
package entry

import (
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Request is a call as the caller sent it, without its body.
type Request struct {
	Service string
	Method  string
	URI     string
	Headers []wire.Header
	// IdempotencyKey is the value of the Idempotency-Key header; it may be empty.
	IdempotencyKey string
	// Timeout is the time that the caller allows; 0: the caller set none.
	Timeout time.Duration
	// FromOtherVM is true when the caller is not on this daemon's VM. Its data must
	// not enter a data centre in which the call may not be handled.
	FromOtherVM bool
}

// AdmittedCall is a call that Admit has let in.
type AdmittedCall struct {
	Request *Request
	// KindView holds the kind of the request and the candidates for it.
	KindView *tables.KindView
	// startedAt and deadline are in nanoseconds of the daemon's clock.
	startedAt int64
	deadline  int64
}

// Misplaced refuses a call that came from another VM to a data centre in which its kind
// may not be handled. Addresses are those of daemons in allowed data centres.
type Misplaced struct {
	Refusal   *errkind.Error
	Addresses []string
}

// claimsKey reports whether the call's idempotency key must be claimed before the call
// runs.
func (c *AdmittedCall) claimsKey() bool {
	return c.KindView.Kind.NeverRepeat && c.Request.IdempotencyKey != ""
}

// isUnkeyed reports whether this is a never-repeat call without an idempotency key,
// where the placement allows that. The entry sends such a call once, to one executor.
func (c *AdmittedCall) isUnkeyed() bool {
	return c.KindView.Kind.NeverRepeat && c.Request.IdempotencyKey == ""
}
