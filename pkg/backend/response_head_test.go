package backend

import (
	"io"
	"net"
	"strings"
	"testing"
)

// respondWith returns a transport to a backend server that answers each request with text, in which
// %s stands for the request's ID, and then closes the connection in an orderly way.
func respondWith(t *testing.T, text string) *Transport {
	return newTestTransport(serveHeads(t, func(c *net.TCPConn, unread io.Reader, id string) {
		_, _ = io.Copy(io.Discard, unread)
		_, _ = io.WriteString(c, strings.Replace(text, "%s", id, 1))
	}))
}

// TestAStatusOutOfRangeIsNoAnswer and is no interim response either, after which the next bytes
// would be read as the response.
func TestAStatusOutOfRangeIsNoAnswer(t *testing.T) {
	const body = "\r\nRushramp-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "099", "101", "+20", "-00", "20", "2000", "0200", "2 0", "abc", ""} {
		got := do(t, respondWith(t, "HTTP/1.1 "+status+" Text"+body), newGetRequest("r"))
		expectBroken(t, got, "status "+status)
		got = do(t, respondWith(t, "HTTP/1.1 "+status+" Text\r\n\r\nHTTP/1.1 200 OK"+body), newGetRequest("r"))
		expectBroken(t, got, "another response after status "+status)
	}
	for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints"} {
		got := do(t, respondWith(t, "HTTP/1.1 "+status+"\r\n\r\nHTTP/1.1 200 OK"+body), newGetRequest("r"))
		expectAnswer(t, got, "ok", status)
	}
}
