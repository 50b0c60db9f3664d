// Package entry is where calls enter: it finds the kind of request, checks the
// place, chooses a backend server, retries what was not run, and answers.
// Source: docs/DESIGN.md, "The way of a call".
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
	// IdempotencyKey is the Idempotency-IdempotencyKey, or empty.
	IdempotencyKey string
	// Timeout is what the caller allows; 0: not said.
	Timeout time.Duration
	// FromOtherVM is true for a caller that is not on this daemon's VM: its data
	// must not enter a data centre where it may not be handled.
	FromOtherVM bool
}

// AdmittedCall is a request that may enter: its kind is known and the place is right.
type AdmittedCall struct {
	Request  *Request
	KindView *tables.KindView
	began    int64
	deadline int64
}

// Misplaced refuses a caller from outside in a data centre where the kind may
// not be handled. Addresses name daemons in allowed ones.
type Misplaced struct {
	Refusal   *errkind.Error
	Addresses []string
}

// guarded is true for a call whose key is claimed before it runs.
func (p *AdmittedCall) guarded() bool {
	return p.KindView.Kind.NeverRepeat && p.Request.IdempotencyKey != ""
}

// unkeyed is true for a never-repeat call that the placement lets in without a
// key: it is sent to one executor once, and never again by us.
func (p *AdmittedCall) unkeyed() bool {
	return p.KindView.Kind.NeverRepeat && p.Request.IdempotencyKey == ""
}
