package callers

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// internalPrefix is the lower-case prefix of rushramp's own headers. Headers under it
// that callers and backend servers set are not forwarded.
const internalPrefix = "rushramp-"

// isHopByHop reports whether a header, named in lower case, belongs to one connection
// only (RFC 9110, section 7.6.1) or is set anew by the next hop.
func isHopByHop(name string) bool {
	switch name {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host":
		return true
	}
	return false
}

// isForwarded reports whether a header is passed on between caller and backend server.
func isForwarded(name string) bool {
	lower := strings.ToLower(name)
	return !strings.HasPrefix(lower, internalPrefix) && !isHopByHop(lower)
}

// forwardedHeaders returns the headers of a request that go to the backend server.
func forwardedHeaders(h *protocol.RequestHeader) []wire.Header {
	var out []wire.Header
	h.VisitAll(func(key, value []byte) {
		if name := string(key); isForwarded(name) {
			out = append(out, wire.Header{Name: name, Value: string(value)})
		}
	})
	return out
}

// copyAnswerHeaders copies the backend server's headers that go to the caller.
func copyAnswerHeaders(to *protocol.ResponseHeader, from []wire.Header) {
	for _, h := range from {
		switch {
		case strings.EqualFold(h.Name, "content-type"):
			to.SetContentType(h.Value)
		case strings.EqualFold(h.Name, HeaderError):
			markOverloadedBelow(to, h.Value)
		case isForwarded(h.Name):
			to.Add(h.Name, h.Value)
		}
	}
}

// markOverloadedBelow sets the error header of an answer that a backend server gave
// because a service that it called was overloaded; kindName is the error kind of that
// service's refusal. No entry further up the call chain retries a marked answer, so
// that retries do not multiply along the chain. Source: docs/design/retries.md.
func markOverloadedBelow(to *protocol.ResponseHeader, kindName string) {
	for _, row := range errkind.Table() {
		if row.Name == kindName && row.Overload {
			to.Set(HeaderError, errkind.OverloadedBelow.String())
		}
	}
}
