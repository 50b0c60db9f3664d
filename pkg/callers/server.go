// Package callers is the listener for callers: HTTP in, HTTP out.
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

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/entry"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/httpserver"
)

// The headers of callers' requests and of rushramp's own answers.
const (
	HeaderService        = "Rushramp-Service"
	HeaderTimeout        = "Rushramp-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderError          = "Rushramp-Error"
	HeaderRan            = "Rushramp-Ran"
	// callPrefix is the path under which the service's name may stand instead
	// of in the header.
	callPrefix = "/call/"
)

// maxTimeout bounds what a caller may ask for.
const maxTimeout = time.Hour

// Server is the callers' listener.
type Server struct {
	*common.Common
	entry  *entry.Entry
	limits *inFlight
	// ownIP is this VM's IP number: callers from there have their data here
	// already. Source: docs/design/placement.md.
	ownIP string
}

// Start opens the listener in the settings and serves until stop is called.
func Start(c *common.Common, e *entry.Entry) (stop func(), err error) {
	host, _, err := net.SplitHostPort(c.Settings.Listen.Callers)
	if err != nil {
		return nil, err
	}
	s := &Server{Common: c, entry: e, limits: newInFlight(c.Settings.Limits.CallsPerCaller), ownIP: host}
	return httpserver.Start(c.Settings.Listen.Callers, s.routes,
		server.WithStreamBody(true),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(c.Settings.Limits.MaxBodyBytes),
		server.WithMaxHeaderBytes(c.Settings.Limits.MaxHeaderBytes),
		server.WithDisablePreParseMultipartForm(true),
		server.WithUseRawPath(true),
	)
}

func (s *Server) routes(h *server.Hertz) {
	h.NoRoute(s.serve)
	h.NoMethod(s.serve)
}

// serve is the way of one call: plan, body, run, answer.
func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	caller := hostOf(c.RemoteAddr())
	if !s.limits.enter(caller) {
		s.refuse(c, errkind.New(errkind.CallerLimit, "%s has too many calls in flight", caller))
		return
	}
	defer s.limits.leave(caller)
	req, refusal := s.request(c, caller)
	if refusal != nil {
		s.refuseUnread(c, refusal)
		return
	}
	plan, misplaced, refusal := s.entry.Admit(ctx, req)
	if refusal != nil {
		s.refuseUnread(c, refusal)
		return
	}
	if misplaced != nil {
		s.redirect(c, misplaced)
		return
	}
	body, refusal := s.body(c)
	if refusal != nil {
		s.refuseUnread(c, refusal)
		return
	}
	s.answer(c, s.entry.Run(ctx, plan, body))
}

func hostOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return host
}

func (s *Server) request(c *app.RequestContext, caller string) (*entry.Request, *errkind.Error) {
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
		return nil, errkind.New(errkind.BadRequest, "name the service in the %s header or as in %sSERVICE/PATH", HeaderService, callPrefix)
	}
	timeout, refusal := timeoutOf(string(c.Request.Header.Peek(HeaderTimeout)))
	out.Timeout = timeout
	out.Headers = requestHeaders(&c.Request.Header)
	return out, refusal
}

// serviceInPath splits "/call/SERVICE/PATH" into the service and "/PATH".
func serviceInPath(uri string) (service, rest string) {
	under, ok := strings.CutPrefix(uri, callPrefix)
	if !ok {
		return "", uri
	}
	end := strings.IndexAny(under, "/?")
	if end < 0 {
		return under, "/"
	}
	rest = under[end:]
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return under[:end], rest
}

func timeoutOf(text string) (time.Duration, *errkind.Error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, errkind.New(errkind.BadRequest, "%s must be a number of milliseconds from 1 to %d", HeaderTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// body reads the whole body within its bound. A body that is shorter than its
// stated length is refused: it is not what the caller meant to send.
func (s *Server) body(c *app.RequestContext) ([]byte, *errkind.Error) {
	stated := c.Request.Header.ContentLength()
	bound := s.Settings.Limits.MaxBodyBytes
	if stated > bound {
		return nil, errkind.New(errkind.BodyTooLarge, "the body has %d bytes, %d are allowed", stated, bound)
	}
	if !c.Request.IsBodyStream() {
		return append([]byte(nil), c.Request.Body()...), nil
	}
	data, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), int64(bound)+1))
	switch {
	case err != nil:
		return nil, errkind.New(errkind.BodyCut, "the body ended after %d bytes", len(data))
	case len(data) > bound:
		return nil, errkind.New(errkind.BodyTooLarge, "the body has more than the allowed %d bytes", bound)
	case stated >= 0 && len(data) < stated:
		return nil, errkind.New(errkind.BodyCut, "the body ended after %d of %d bytes", len(data), stated)
	}
	return data, nil
}

func (s *Server) answer(c *app.RequestContext, result call.Result) {
	if result.Refusal != nil {
		s.refuse(c, result.Refusal)
		return
	}
	c.SetStatusCode(result.Answer.Status)
	copyAnswerHeaders(&c.Response.Header, result.Answer.Headers)
	c.Response.SetBodyRaw(result.Answer.Body)
}

// refuseUnread refuses a call whose body was not read. The connection is
// closed, so that the body does not enter after all.
func (s *Server) refuseUnread(c *app.RequestContext, refusal *errkind.Error) {
	if c.Request.Header.ContentLength() != 0 {
		c.SetConnectionClose()
	}
	s.refuse(c, refusal)
}

func (s *Server) refuse(c *app.RequestContext, refusal *errkind.Error) {
	row := refusal.Kind.Row()
	c.Response.Header.Set(HeaderError, row.Name)
	c.Response.Header.Set(HeaderRan, refusal.Ran.String())
	if row.RetryAfterMS > 0 {
		c.Response.Header.Set("Retry-After", strconv.Itoa((row.RetryAfterMS+999)/1000))
		c.Response.Header.Set("Rushramp-Retry-After-Ms", strconv.Itoa(row.RetryAfterMS))
	}
	c.String(row.Status, "%s: %s. %s\n", row.Name, refusal.Detail, row.Advice)
}

// redirect sends a caller from outside to a daemon in an allowed data centre,
// before its body was read, or names such daemons.
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
