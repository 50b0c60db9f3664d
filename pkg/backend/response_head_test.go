package backend

import (
	"fmt"
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

// badFieldNames holds names of fields that are no tokens, with a field line each.
var badFieldNames = []string{
	"Content-Length : 2", "Content-Length\t: 2", "Transfer-Encoding : chunked", "X Y: z", "X : z",
	"X\x01: z", "\x01X: z", "X\x7f: z", "X\x00Y: z", "X\rY: z", "X\x80: z", "X(Y): z",
}

// TestAFieldNameThatIsNoTokenIsNoAnswer guards against a length or a coding that is not heeded
// because of its name, and against lines that callers read in different ways.
func TestAFieldNameThatIsNoTokenIsNoAnswer(t *testing.T) {
	for _, line := range badFieldNames {
		for _, framing := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok"} {
			got := do(t, respondWith(t, "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\n"+line+"\r\n"+framing), newGetRequest("r"))
			expectBroken(t, got, fmt.Sprintf("%q before %q", line, framing))
		}
	}
	odd := "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\n!#$%&'*+-.^_`|~9z: odd, but a token\r\nContent-Length: 2\r\n\r\nok"
	expectAnswer(t, do(t, respondWith(t, odd), newGetRequest("r")), "ok", "a token of all kinds of bytes")
}

// TestAControlByteInAFieldIsNoAnswer checks the values of fields.
func TestAControlByteInAFieldIsNoAnswer(t *testing.T) {
	for _, value := range []string{"a\x00b", "a\x01b", "a\rb", "a\x7fb", "a\x1b[2J"} {
		got := do(t, respondWith(t, "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\nX: "+value+"\r\nContent-Length: 2\r\n\r\nok"), newGetRequest("r"))
		expectBroken(t, got, fmt.Sprintf("%q", value))
	}
}
