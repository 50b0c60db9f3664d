package callers

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// internalPrefix begins the names of rushramp's own headers. What callers and
// backend servers set under it goes no further.
const internalPrefix = "rushramp-"

// hopByHop are headers of one connection only (RFC 9110, section 7.6.1), and
// those that the next hop sets itself.
func hopByHop(name string) bool {
	switch name {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host":
		return true
	}
	return false
}

func passes(name string) bool {
	lower := strings.ToLower(name)
	return !strings.HasPrefix(lower, internalPrefix) && !hopByHop(lower)
}

func requestHeaders(h *protocol.RequestHeader) []wire.Header {
	var out []wire.Header
	h.VisitAll(func(key, value []byte) {
		if name := string(key); passes(name) {
			out = append(out, wire.Header{Name: name, Value: string(value)})
		}
	})
	return out
}

func copyAnswerHeaders(to *protocol.ResponseHeader, from []wire.Header) {
	for _, h := range from {
		switch {
		case strings.EqualFold(h.Name, "content-type"):
			to.SetContentType(h.Value)
		case strings.EqualFold(h.Name, HeaderError):
			copyDeepOverload(to, h.Value)
		case passes(h.Name):
			to.Add(h.Name, h.Value)
		}
	}
}

// copyDeepOverload marks an answer that a backend server gave because a
// service that it called was full. Nobody above retries such an answer, so
// retries cannot multiply over the depth. Source: docs/design/retries.md.
func copyDeepOverload(to *protocol.ResponseHeader, name string) {
	for _, row := range errkind.Table() {
		if row.Name == name && row.Overload {
			to.Set(HeaderError, errkind.OverloadedBelow.String())
		}
	}
}
