package wire

import (
	"net/http"

	"github.com/rushramp/rushramp/pkg/quarantine"
)

// credentialHeaders are the headers that authenticate the caller. Only these are part of a
// fingerprint, since others may change when the caller retries the request.
var credentialHeaders = [...]string{"Authorization", "Cookie"}

// FingerprintOf returns the fingerprint of a routed request. It is the same at the entry
// and at the executor, and the same when the caller retries the request.
func FingerprintOf(method, host, target string, headers []Header, body []byte) quarantine.Fingerprint {
	content := quarantine.Content{Method: method, Host: host, Target: target, Body: body}
	for _, name := range credentialHeaders {
		for i := range headers {
			if http.CanonicalHeaderKey(headers[i].Name) == name {
				content.Credentials += name + headers[i].Value + "\n"
			}
		}
	}
	return content.Fingerprint()
}

// Fingerprint returns the fingerprint of the call's request. For a request that is not
// routed by host and path, the name of the service takes the place of the host.
func (c *Call) Fingerprint(body []byte) quarantine.Fingerprint {
	host := c.Routed.Host
	if c.Routed.ID == "" {
		host = c.Service
	}
	return FingerprintOf(c.Method, host, c.URI, c.Headers, body)
}
