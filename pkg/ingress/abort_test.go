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

// TestRequestsAreAbortedBeforeTheirConnectionsClose: where the process waited for the processor, the
// drain closed connections at the moment at which it aborted their requests.
func TestRequestsAreAbortedBeforeTheirConnectionsClose(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		repeatable, once := env.caller(), env.caller()
		repeatable.send(get("a") + get("b"))
		once.send(post("p", "x"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		env.server.StopKeepAlives()
		env.server.Close(ctx)
		test.Eq(t, "502 502(close) end", repeatable.answers())
		test.Eq(t, "502(close) end", once.answers())
		test.Eq(t, 3, env.backend.cancelCount())
	})
}

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
