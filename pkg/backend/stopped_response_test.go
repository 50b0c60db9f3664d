package backend

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// TestAResponseThatStopsIsNoAnswer stops a response at each of its bytes.
func TestAResponseThatStopsIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nX: y\r\n"
	responses := map[string]string{
		"length":              head + "Content-Length: 4\r\n\r\nbody",
		"no body":             head + "Content-Length: 0\r\n\r\n",
		"chunks":              head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\n\r\n",
		"trailers":            head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n",
		"an interim response": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
	}
	for name, whole := range responses {
		for _, ending := range []string{"closed", "reset"} {
			t.Run(name+", "+ending, func(t *testing.T) {
				stopAt := make(chan int, 1)
				tr := newTestTransport(serveHeads(t, func(c *net.TCPConn, _ io.Reader, _ string) {
					_, _ = io.WriteString(c, whole[:<-stopAt])
					if ending == "reset" {
						reset(c)
					}
				}))
				for n := range len(whole) {
					stopAt <- n
					expectBroken(t, do(t, tr, newGetRequest("r")), fmt.Sprintf("stopped after %q", whole[:n]))
				}
			})
		}
	}
}

// TestAHeadThatStopsBeforeABodyWithoutALength guards against a head that ends with the connection.
func TestAHeadThatStopsBeforeABodyWithoutALength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nX: y\r\n\r\n"
	for n := range len(head) {
		expectBroken(t, do(t, respondWith(t, head[:n]), newGetRequest("r")), fmt.Sprintf("stopped after %q", head[:n]))
	}
	expectAnswer(t, do(t, respondWith(t, head), newGetRequest("r")), "", "the whole head")
}
