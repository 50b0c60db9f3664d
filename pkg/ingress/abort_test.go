package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/routing"
)

// TestAbortReachesRetiredServers: requests on connections that were opened before the limits
// changed were not aborted at the end of a drain. Their connections closed without an answer.
func TestAbortReachesRetiredServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limits atomic.Pointer[routing.Limits]
		limits.Store(&routing.Limits{})
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		a := newAcceptor(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				<-r.Context().Done()
				w.WriteHeader(http.StatusBadGateway)
			}
		}), func() routing.Limits { return *limits.Load() })
		go a.run()
		early := l.dial()
		_, err := io.WriteString(early.conn, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
		limits.Store(&routing.Limits{MaxHeaderBytes: 2000})
		l.dial().roundTrip(t, 0)

		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go a.shutdown(ctx)
		time.Sleep(time.Second)
		a.abortAll()
		resp, err := http.ReadResponse(early.reader, nil)
		must.NoError(t, err)
		test.Eq(t, http.StatusBadGateway, resp.StatusCode)
		_ = early.conn.Close()
		time.Sleep(2 * time.Second)
	})
}
