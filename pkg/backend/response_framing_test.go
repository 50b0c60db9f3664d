package backend

import (
	"strings"
	"testing"
)

// TestAmbiguousFramingIsNoAnswer checks heads that recipients could frame in different ways.
func TestAmbiguousFramingIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\n"
	for name, text := range map[string]string{
		"two lengths":                   head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"a list of lengths":             head + "Content-Length: 2, 3\r\n\r\nok",
		"a negative length":             head + "Content-Length: -2\r\n\r\nok",
		"a length with a sign":          head + "Content-Length: +2\r\n\r\nok",
		"an unknown coding":             head + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"two codings":                   head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 with a coding":        "HTTP/1.0 200 OK\r\nRushramp-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0, a long head":         "HTTP/1.0 200 OK\r\nRushramp-Request-Id: %s\r\nX: " + strings.Repeat("x", 20_000) + "\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/2.0":                      "HTTP/2.0 200 OK\r\nRushramp-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/0.9":                      "HTTP/0.9 200 OK\r\nRushramp-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0, a coding, a length":  "HTTP/1.0 200 OK\r\nRushramp-Request-Id: %s\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok",
		"a chunk with a negative size":  head + "Transfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
		"a chunk longer than its size":  head + "Transfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n",
		"a name that is a continuation": "HTTP/1.1 200 OK\r\n Rushramp-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok",
	} {
		expectBroken(t, do(t, respondWith(t, text), newGetRequest("r")), name)
	}
	both := head + "Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	expectAnswer(t, do(t, respondWith(t, both), newGetRequest("r")), "ok", "a coding overrides a length")
}

// TestHTTP10IsAnAnswer with a length, without one, and behind an interim response.
func TestHTTP10IsAnAnswer(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nRushramp-Request-Id: %s\r\n"
	long := "X: " + strings.Repeat("x", 20_000) + "\r\n"
	for _, text := range []string{
		head + "Content-Length: 2\r\n\r\nok", head + "\r\nok", head + long + "\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + head + "X-Transfer-Encoding: chunked\r\n\r\nok",
	} {
		expectAnswer(t, do(t, respondWith(t, text), newGetRequest("r")), "ok", text)
	}
}
