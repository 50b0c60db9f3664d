package ingress

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/routing"
)

// TestNoServerIsStartedAfterTheShutdown: a connection that was accepted right before the listener
// closed, after the limits had changed, got a server that nobody waited for. Its request was cut
// with the end of the process.
func TestNoServerIsStartedAfterTheShutdown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	limits := routing.Limits{MaxHeaderBytes: 1000}
	a := newAcceptor(listener, http.NotFoundHandler(), func() routing.Limits { return limits })
	must.False(t, a.currentServer().isRetired())
	a.shutdown(t.Context())
	limits.MaxHeaderBytes = 2000
	caller, accepted := net.Pipe()
	must.NoError(t, caller.SetDeadline(time.Now().Add(10*time.Second)))
	go a.currentServer().serveConn(accepted)
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	test.Error(t, err, test.Sprint("the connection is closed without reading a request"))
}
