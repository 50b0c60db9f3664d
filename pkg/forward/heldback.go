package forward

import (
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// heldBack refuses a request whose content ends the backend servers that run it. It is
// asked before each attempt: the content may have become known between two of them.
// The caller is told when it may run again, which is far beyond its time: each further
// try would be refused.
func (a *attempts) heldBack() *call.Result {
	table := a.owner.Quarantine
	if !table.AnySuspects() {
		return nil
	}
	if !a.fingerprinted {
		a.content, a.fingerprinted = a.req.fingerprint(), true
	}
	left, held := table.Held(a.owner.Now(), a.content)
	if !held {
		return nil
	}
	out := call.Refused(errkind.RequestHeld, "requests of content %s end the backend servers that run them", a.content)
	out.RetryAfter = left
	return &out
}
