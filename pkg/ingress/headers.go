package ingress

import (
	"net/http"
	"strings"
)

// hopByHop is true for headers of one connection only (RFC 9110, section
// 7.6.1), and for those that the next hop sets itself.
func hopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	}
	return false
}

// connectionNames are the headers that the Connection header names: they, too,
// concern this connection only.
func connectionNames(h http.Header) map[string]bool {
	var out map[string]bool
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if out == nil {
				out = map[string]bool{}
			}
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
