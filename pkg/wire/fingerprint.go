package wire

import (
	"net/http"

	"github.com/rushramp/rushramp/pkg/quarantine"
)

// provingHeaders are those by which a caller proves itself. Others change from one try
// to the next.
var provingHeaders = [...]string{"Authorization", "Cookie"}

// FingerprintOf is the fingerprint of a routed request, which is the same at its entry
// and at its executor.
func FingerprintOf(method, host, target string, headers []Header, body []byte) quarantine.Fingerprint {
	content := quarantine.Content{Method: method, Host: host, Target: target, Body: body}
	for _, name := range provingHeaders {
		for i := range headers {
			if http.CanonicalHeaderKey(headers[i].Name) == name {
				content.Credentials += name + headers[i].Value + "\n"
			}
		}
	}
	return content.Fingerprint()
}

// Fingerprint is that of the request which the call carries. One that is not routed by
// its host names its service in the host's place.
func (c *Call) Fingerprint(body []byte) quarantine.Fingerprint {
	host := c.Routed.Host
	if c.Routed.ID == "" {
		host = c.Service
	}
	return FingerprintOf(c.Method, host, c.URI, c.Headers, body)
}
