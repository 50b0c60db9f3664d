package forward

import (
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/quarantine"
)

// heldBack refuses a request whose content ends the backend servers that run it. It is
// asked before each attempt: the content may have become known between two of them.
// The caller is told when it may run again, which is far beyond its time: each further
// try would be refused.
func (a *attempts) heldBack() *call.Result {
	refusal, left := a.owner.Quarantine.Refusal(a.owner.Now(), a.fingerprint)
	if refusal == nil {
		return nil
	}
	return &call.Result{Refusal: refusal, RetryAfter: left}
}

// fingerprint stands for the request's content; it is worked out once.
func (a *attempts) fingerprint() quarantine.Fingerprint {
	if !a.fingerprinted {
		a.content, a.fingerprinted = a.req.fingerprint(), true
	}
	return a.content
}
