package wire

import (
	"net/http"

	"github.com/rushramp/rushramp/pkg/quarantine"
)

// FingerprintOf is the fingerprint of a routed request, which is the same at its entry
// and at its executor. Of the headers only those count by which a caller proves itself:
// others change from one try to the next.
func FingerprintOf(method, host, target string, headers []Header, body []byte) quarantine.Fingerprint {
	content := quarantine.Content{Method: method, Host: host, Target: target, Body: body}
	for i := range headers {
		if provesCaller(headers[i].Name) {
			content.Caller += headers[i].Value + "\n"
		}
	}
	return content.Fingerprint()
}

func provesCaller(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Authorization", "Cookie":
		return true
	}
	return false
}

// Fingerprint is that of the routed request which the call carries.
func (c *Call) Fingerprint(body []byte) quarantine.Fingerprint {
	return FingerprintOf(c.Method, c.Routed.Host, c.URI, c.Headers, body)
}
