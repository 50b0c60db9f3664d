package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/rushramp/rushramp/pkg/httpserver"
	"github.com/rushramp/rushramp/pkg/standin/broken"
)

// Request headers that control how the stand-in handles a call.
const (
	// HeaderCallID names the call in the ledger.
	HeaderCallID = "X-Call-Id"
	// HeaderWork is the nominal service time in microseconds.
	HeaderWork = "X-Work-Us"
	// HeaderAnswer is the size of the answer's body in bytes.
	HeaderAnswer = "X-Answer-Bytes"
)

// HTTP paths for tests and for the executor.
const (
	// PathCancel, followed by the id that the executor gave a call, cancels the
	// call.
	PathCancel = "/standin/cancel/"
	pathFaults = "/standin/faults"
	// pathLedger returns the runs in the ledger.
	pathLedger = "/standin/ledger"
	pathLoad   = "/standin/load"
	pathHealth = "/standin/health"
)

// maxBodySize is the maximum size of a request body in bytes.
const maxBodySize = 64 << 20

// statusCancelled is the status of the answer to a cancelled call.
const statusCancelled = 499

// Serve serves the stand-in over HTTP on address until stop is called. It fails
// when it cannot listen there.
func Serve(b *Backend, address string) (stop func(), err error) {
	return httpserver.Start(address, nil, func(h *server.Hertz) {
		h.POST(PathCancel+":id", func(_ context.Context, c *app.RequestContext) {
			b.Cancel(c.Param("id"))
			c.SetStatusCode(http.StatusNoContent)
		})
		h.POST(pathFaults, b.serveFaults)
		h.GET(pathLedger, func(_ context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, b.ledger.Runs()) })
		h.GET(pathLoad, func(_ context.Context, c *app.RequestContext) {
			c.String(http.StatusOK, "%d\n", b.reportedLoad(time.Now()))
		})
		h.GET(pathHealth, func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
		h.NoRoute(b.serveCall)
		h.NoMethod(b.serveCall)
	}, server.WithMaxRequestBodySize(maxBodySize))
}

func (b *Backend) serveFaults(_ context.Context, c *app.RequestContext) {
	var f Faults
	if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	b.SetFaults(f)
	c.String(http.StatusOK, "done\n")
}

func (b *Backend) serveCall(ctx context.Context, c *app.RequestContext) {
	faults := b.CurrentFaults()
	if faults.FailFast {
		c.String(http.StatusInternalServerError, "failing fast\n")
		return
	}
	if !b.acquireSlot() {
		c.String(http.StatusServiceUnavailable, "all slots are taken\n")
		return
	}
	defer b.releaseSlot()
	id := string(c.Request.Header.Peek(HeaderCallID))
	b.ledger.record(id, string(c.Request.Header.Peek("Idempotency-Key")), time.Now())
	ctx, cancel := b.callContext(ctx, c)
	defer cancel()
	if !b.work(ctx, time.Duration(intHeader(c, HeaderWork))*time.Microsecond) {
		c.SetStatusCode(statusCancelled)
		return
	}
	c.Response.Header.Set(HeaderCallID, id)
	if faults.CutAnswers {
		c.Response.Header.SetContentLength(intHeader(c, HeaderAnswer) + len(id) + 1)
		_ = c.GetConn().Close()
		return
	}
	if answer, ok := broken.Answers[faults.Broken]; ok {
		_, _ = c.GetConn().Write(answer.Bytes())
		_ = c.GetConn().Close()
		return
	}
	c.Data(http.StatusOK, "application/octet-stream", AnswerBody(id, intHeader(c, HeaderAnswer), c.Request.Body()))
}

// callContext returns a context that ends at the deadline set by the executor
// or when the call is cancelled.
func (b *Backend) callContext(ctx context.Context, c *app.RequestContext) (context.Context, context.CancelFunc) {
	out, cancel := withTimeout(ctx, time.Duration(intHeader(c, "Rushramp-Timeout"))*time.Millisecond)
	id := string(c.Request.Header.Peek("Rushramp-Call"))
	if id == "" {
		return out, cancel
	}
	b.register(id, cancel)
	return out, func() {
		b.unregister(id)
		cancel()
	}
}

// withTimeout returns a context that ends after a time, or only when it is cancelled if the time
// is not positive.
func withTimeout(ctx context.Context, after time.Duration) (context.Context, context.CancelFunc) {
	if after <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, after)
}

// intHeader returns the value of a numeric header; 0 when it is missing or no
// number.
func intHeader(c *app.RequestContext, header string) int {
	n, err := strconv.Atoi(string(c.Request.Header.Peek(header)))
	if err != nil {
		return 0
	}
	return n
}

// AnswerBody returns the body of the answer to a call: its id, repeated to at
// least size bytes, and then the request's body. A caller can tell from it
// whether the answer belongs to its own call.
func AnswerBody(id string, size int, request []byte) []byte {
	text := id + "\n"
	repeats := size/len(text) + 1
	return append([]byte(strings.Repeat(text, repeats)), request...)
}
