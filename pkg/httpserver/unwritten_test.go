package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/loopback"
)

// addresses allocates the addresses of the servers, since tests may run in parallel.
var addresses loopback.Allocator

// unsentBytes is more than the kernel buffers for a connection.
const unsentBytes = 32 << 20

// TestUnwrittenAnswers: an answer counts until it is written or its caller has gone, also after
// its handler has returned, and each one once.
func TestUnwrittenAnswers(t *testing.T) {
	var unwritten UnwrittenAnswers
	handled := make(chan struct{}, 1)
	address := addresses.Next().Address(loopback.PortCallers)
	stop, err := Start(address, nil, func(h *server.Hertz) {
		h.GET("/small", func(_ context.Context, c *app.RequestContext) {
			unwritten.Begin(c)
			c.Response.SetBodyRaw([]byte("small"))
		})
		h.GET("/large", func(_ context.Context, c *app.RequestContext) {
			unwritten.Begin(c)
			c.Response.SetBodyRaw(make([]byte, unsentBytes))
			handled <- struct{}{}
		})
	}, server.WithTracer(&unwritten))
	must.NoError(t, err)
	defer stop()
	none := func() {
		for unwritten.Count() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	request := func(path string) {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
	}
	read := func() {
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
	}
	for range 2 {
		request("/small")
		read()
		none()
	}
	request("/large")
	<-handled
	test.Eq(t, 1, unwritten.Count())
	read()
	none()
	request("/large")
	<-handled
	test.Eq(t, 1, unwritten.Count())
	must.NoError(t, conn.Close())
	none()
}
