package ingress

import (
	"net/http"
	"strings"
)

// isHopByHop reports whether a header concerns one connection only (RFC 9110, section
// 7.6.1) or is one that the next hop sets itself, such as Host and Content-Length.
func isHopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	}
	return false
}

// connectionOptions returns the names of the headers that the Connection header lists.
// They concern one connection only, too.
func connectionOptions(h http.Header) map[string]bool {
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
