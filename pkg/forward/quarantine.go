package forward

import (
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/quarantine"
)

// quarantineRefusal refuses a request whose content is quarantined because it crashes the
// backend servers that run it. It returns nil if the request may run. It is called before
// each attempt, because the content may have been quarantined since the last one.
// RetryAfter is the time until the quarantine ends, however long: earlier retries would be
// refused again.
func (a *attempts) quarantineRefusal() *call.Result {
	refusal, retryAfter := a.forwarder.Quarantine.Refusal(a.forwarder.Now(), a.fingerprint)
	if refusal == nil {
		return nil
	}
	return &call.Result{Refusal: refusal, RetryAfter: retryAfter}
}

// fingerprint returns the fingerprint of the request's content, which it computes once.
func (a *attempts) fingerprint() quarantine.Fingerprint {
	if !a.hasFingerprint {
		a.cachedFingerprint, a.hasFingerprint = a.req.fingerprint(), true
	}
	return a.cachedFingerprint
}
