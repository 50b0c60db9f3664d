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
)

// The headers with which a test says what a call should do.
const (
	// HeaderCallID names the call in the ledger.
	HeaderCallID = "X-Call-Id"
	// HeaderWork is the nominal service time in microseconds.
	HeaderWork = "X-Work-Us"
	// HeaderAnswer is the size of the answer's body in bytes.
	HeaderAnswer = "X-Answer-Bytes"
)

// The pages for tests and for the executor.
const (
	PathCancel  = "/standin/cancel/"
	pathFaults  = "/standin/faults"
	pathLedger  = "/standin/ledger"
	pathLoad    = "/standin/load"
	pathHealth  = "/standin/health"
	maxBodySize = 64 << 20
)

// statusCancelled is what a cancelled call is answered with.
const statusCancelled = 499

// Serve serves the stand-in on address until stop is called.
func Serve(b *Backend, address string) (stop func(), err error) {
	return httpserver.Start(address, func(h *server.Hertz) {
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
	if !b.enter() {
		c.String(http.StatusServiceUnavailable, "all slots are taken\n")
		return
	}
	defer b.leave()
	id := string(c.Request.Header.Peek(HeaderCallID))
	b.ledger.note(id, string(c.Request.Header.Peek("Idempotency-Key")), time.Now())
	ctx, cancel := b.context(ctx, c)
	defer cancel()
	if !b.work(ctx, time.Duration(number(c, HeaderWork))*time.Microsecond) {
		c.SetStatusCode(statusCancelled)
		return
	}
	c.Response.Header.Set(HeaderCallID, id)
	if faults.CutAnswers {
		c.Response.Header.SetContentLength(number(c, HeaderAnswer) + len(id) + 1)
		_ = c.GetConn().Close()
		return
	}
	c.Data(http.StatusOK, "application/octet-stream", AnswerBody(id, number(c, HeaderAnswer), c.Request.Body()))
}

// context ends at the deadline that the executor gave, or at a cancellation.
func (b *Backend) context(ctx context.Context, c *app.RequestContext) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancel(ctx)
	if ms := number(c, "Rushramp-Timeout"); ms > 0 {
		out, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
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

func number(c *app.RequestContext, header string) int {
	n, err := strconv.Atoi(string(c.Request.Header.Peek(header)))
	if err != nil {
		return 0
	}
	return n
}

// AnswerBody is what the stand-in answers: a text made of the call's id, so
// that a caller sees at once whether it received its own answer, and the
// request's body.
func AnswerBody(id string, size int, request []byte) []byte {
	text := id + "\n"
	repeats := size/len(text) + 1
	return append([]byte(strings.Repeat(text, repeats)), request...)
}
