// Package callers is the HTTP listener through which callers send calls to the entry
// of this daemon.
package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/tracer/stats"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/connections"
	"github.com/rushramp/rushramp/pkg/entry"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/httpserver"
)

// The HTTP headers of callers' requests and of rushramp's own answers.
const (
	HeaderService        = "Rushramp-Service"
	HeaderTimeout        = "Rushramp-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderError          = "Rushramp-Error"
	HeaderRan            = "Rushramp-Ran"
	// callPrefix begins the path of a request that names the service there instead
	// of in HeaderService.
	callPrefix = "/call/"
)

// maxTimeout is the longest timeout that a caller may ask for.
const maxTimeout = time.Hour

// Server handles the requests that reach the listener.
type Server struct {
	*common.Common
	entry   *entry.Entry
	limiter *callerLimiter
	// unwritten counts the calls whose answers are not written yet.
	unwritten httpserver.UnwrittenAnswers
	// ownIP is the IP address of this VM. The data of a call from this address is in this
	// data centre already. Source: docs/design/placement.md.
	ownIP string
}

// Start opens the listener at the address listen.callers of the settings and serves
// calls until stop is called. It returns an error where the address cannot be used.
func Start(c *common.Common, e *entry.Entry) (s *Server, stop func(), err error) {
	host, _, err := net.SplitHostPort(c.Settings.Listen.Callers)
	if err != nil {
		return nil, nil, err
	}
	s = &Server{Common: c, entry: e, limiter: newCallerLimiter(c.Settings.Limits.CallsPerCaller), ownIP: host}
	table := connections.NewTable("callers", connections.LimitsOfCalls(c.Settings.Limits.MemoryBytes), c.Metrics)
	stop, err = httpserver.Start(c.Settings.Listen.Callers, table, s.routes,
		server.WithStreamBody(true),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(c.Settings.Limits.MaxBodyBytes),
		server.WithMaxHeaderBytes(c.Settings.Limits.MaxHeaderBytes),
		server.WithDisablePreParseMultipartForm(true),
		server.WithUseRawPath(true),
		server.WithTracer(&s.unwritten),
		server.WithTraceLevel(stats.LevelDisabled),
	)
	return s, stop, err
}

// InFlight returns the number of calls that have not ended, or whose answers are not
// written yet.
func (s *Server) InFlight() int64 { return s.unwritten.Count() }

func (s *Server) routes(h *server.Hertz) {
	h.NoRoute(s.serve)
	h.NoMethod(s.serve)
}

// serve handles one call: it limits the caller, admits the call, reads the body, runs
// the call and writes the answer.
func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	caller := hostOf(c.RemoteAddr())
	if !s.limiter.acquire(caller) {
		s.refuse(c, errkind.New(errkind.CallerLimit, "%s has too many calls in flight", caller), 0)
		return
	}
	defer s.limiter.release(caller)
	req, refusal := s.parseRequest(c, caller)
	if refusal != nil {
		s.refuseUnread(c, refusal)
		return
	}
	s.unwritten.Begin(c)
	admitted, misplaced, refusal := s.entry.Admit(ctx, req)
	if refusal != nil {
		s.refuseUnread(c, refusal)
		return
	}
	if misplaced != nil {
		s.redirect(c, misplaced)
		return
	}
	body, refusal := s.readBody(c)
	if refusal != nil {
		s.refuseUnread(c, refusal)
		return
	}
	s.writeResult(c, s.entry.Run(ctx, admitted, body))
}

// hostOf returns an address without its port.
func hostOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return host
}

// parseRequest reads the line and the headers of a request. It refuses a request that
// names no service or has a timeout that is not valid.
func (s *Server) parseRequest(c *app.RequestContext, caller string) (*entry.Request, *errkind.Error) {
	out := &entry.Request{
		Service:        string(c.Request.Header.Peek(HeaderService)),
		Method:         string(c.Method()),
		URI:            string(c.Request.RequestURI()),
		IdempotencyKey: string(c.Request.Header.Peek(HeaderIdempotencyKey)),
		FromOtherVM:    caller != s.ownIP,
	}
	if out.Service == "" {
		out.Service, out.URI = serviceInPath(out.URI)
	}
	if out.Service == "" {
		return nil, errkind.New(errkind.BadRequest, "name the service in the %s header or in the path as %sSERVICE/PATH", HeaderService, callPrefix)
	}
	timeout, refusal := parseTimeout(string(c.Request.Header.Peek(HeaderTimeout)))
	out.Timeout = timeout
	out.Headers = forwardedHeaders(&c.Request.Header)
	return out, refusal
}

// serviceInPath splits "/call/SERVICE/PATH" into the service and "/PATH". For any
// other URI the service is empty.
func serviceInPath(uri string) (service, rest string) {
	trimmed, ok := strings.CutPrefix(uri, callPrefix)
	if !ok {
		return "", uri
	}
	end := strings.IndexAny(trimmed, "/?")
	if end < 0 {
		return trimmed, "/"
	}
	rest = trimmed[end:]
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return trimmed[:end], rest
}

// parseTimeout parses a number of milliseconds up to maxTimeout; an empty text is 0.
func parseTimeout(text string) (time.Duration, *errkind.Error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, errkind.New(errkind.BadRequest, "%s must be a number of milliseconds from 1 to %d", HeaderTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads the whole body, which may have limits.max_body_bytes at most. It
// refuses a body that is shorter than its Content-Length, because the caller meant to
// send more.
func (s *Server) readBody(c *app.RequestContext) ([]byte, *errkind.Error) {
	contentLength := c.Request.Header.ContentLength()
	limit := s.Settings.Limits.MaxBodyBytes
	if contentLength > limit {
		return nil, errkind.New(errkind.BodyTooLarge, "the body has %d bytes, %d are allowed", contentLength, limit)
	}
	if !c.Request.IsBodyStream() {
		return append([]byte(nil), c.Request.Body()...), nil
	}
	data, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(limit)+1))
	switch {
	case err != nil:
		return nil, errkind.New(errkind.BodyCut, "the body ended after %d bytes", len(data))
	case len(data) > limit:
		return nil, errkind.New(errkind.BodyTooLarge, "the body has more than the allowed %d bytes", limit)
	case contentLength >= 0 && len(data) < contentLength:
		return nil, errkind.New(errkind.BodyCut, "the body ended after %d of %d bytes", len(data), contentLength)
	}
	return data, nil
}

// writeResult writes the backend server's answer, or the refusal.
func (s *Server) writeResult(c *app.RequestContext, result call.Result) {
	result = result.WithoutBrokenAnswer()
	if result.Refusal != nil {
		s.refuse(c, result.Refusal, result.RetryAfter)
		return
	}
	c.SetStatusCode(result.Answer.Status)
	copyAnswerHeaders(&c.Response.Header, result.Answer.Headers)
	c.Response.SetBodyRaw(result.Answer.Body)
}

// refuseUnread refuses a call whose body has not been read, or not to its end. It
// closes the connection, so that the daemon does not receive the rest of the body.
func (s *Server) refuseUnread(c *app.RequestContext, refusal *errkind.Error) {
	if c.Request.Header.ContentLength() != 0 {
		c.SetConnectionClose()
	}
	s.refuse(c, refusal, 0)
}

// refuse writes the status, the headers and the text of a refusal. retryAfter replaces the time
// of the error kind unless it is 0.
func (s *Server) refuse(c *app.RequestContext, refusal *errkind.Error, retryAfter time.Duration) {
	row := refusal.Kind.Row()
	retryAfterMS := row.RetryAfterMS
	if retryAfter > 0 {
		retryAfterMS = int((retryAfter + time.Millisecond - 1) / time.Millisecond)
	}
	c.Response.Header.Set(HeaderError, row.Name)
	c.Response.Header.Set(HeaderRan, refusal.Ran.String())
	if retryAfterMS > 0 {
		c.Response.Header.Set("Retry-After", strconv.Itoa((retryAfterMS+999)/1000))
		c.Response.Header.Set("Rushramp-Retry-After-Ms", strconv.Itoa(retryAfterMS))
	}
	c.String(row.Status, "%s: %s. %s\n", row.Name, refusal.Detail, row.Advice)
}

// redirect refuses a call that may not be handled in this data centre, before its body
// is read. It sends the caller to a daemon in an allowed data centre where one is known
// and the settings do not say otherwise.
func (s *Server) redirect(c *app.RequestContext, misplaced *entry.Misplaced) {
	uri := string(c.Request.RequestURI())
	addresses := misplaced.Addresses
	s.refuseUnread(c, misplaced.Refusal)
	if s.Settings.Placement.Misplaced == "refuse" || len(addresses) == 0 {
		return
	}
	c.SetStatusCode(http.StatusTemporaryRedirect)
	c.Response.Header.Set("Location", "http://"+addresses[0]+uri)
}
