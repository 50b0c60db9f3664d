// Package ingress is the listener for routed requests: HTTP in, HTTP out.
//
// It stands on the standard library's server and not on hertz: that one tells
// when a caller leaves, ends resting connections alone at a planned stop, and
// bounds the time of a head apart from that of a body. docs/design/libraries.md.
package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/forward"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Headers names the headers that callers and daemon exchange.
type Headers struct {
	RequestID string
	TimeoutMS string
	// Caller names the service on whose VM a request began; what callers send
	// in it goes no further.
	Caller string
	// Team names the team whose key a request carried; what callers send in it goes no
	// further.
	Team string
}

// DefaultHeaders are the names that the product itself uses.
func DefaultHeaders() Headers {
	return Headers{RequestID: "Rushramp-Request-Id", TimeoutMS: "Rushramp-Timeout", Caller: "Rushramp-Caller", Team: "Rushramp-Team"}
}

// Server is the listener for routed requests.
type Server struct {
	*common.Common
	headers   Headers
	forwarder *forward.Forwarder
	limits    func() routing.Limits
	acceptor  *acceptor
	// workers run requests that others may run beside.
	workers *ants.Pool
	leaving atomic.Bool
}

// Start opens the listener in the settings. limits returns those in force.
func Start(c *common.Common, h Headers, f *forward.Forwarder, limits func() routing.Limits) (*Server, error) {
	listener, err := net.Listen("tcp", c.Settings.Listen.Routed)
	if err != nil {
		return nil, errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", c.Settings.Listen.Routed, err)
	}
	s := &Server{Common: c, headers: h, forwarder: f, limits: limits}
	return s, s.listenOn(listener)
}

// listenOn begins to accept connections.
func (s *Server) listenOn(l net.Listener) error {
	var err error
	if s.workers, err = ants.NewPool(unboundedPool); err != nil {
		return errors.Wrap(err, "no pool for requests")
	}
	bounds := s.Settings.Limits
	s.acceptor = newAcceptor(l, s, s.limits)
	s.acceptor.hooks = hooks{
		pipelining: PipelineLimits{MaxRequests: bounds.PipelinedRequests, MaxBytes: bounds.PipelinedBytes},
		leaving:    s.leaving.Load, closed: s.noteCut,
	}
	go s.acceptor.run()
	return nil
}

// unboundedPool: requests are bounded by connection and by the gates, and one
// that had to wait for a worker would lose the time that it has.
const unboundedPool = -1

// StopKeepAlives lets callers know on each answer that the connection ends.
func (s *Server) StopKeepAlives() { s.leaving.Store(true) }

// Close ends resting connections, waits for requests until ctx ends, and then
// ends those, too.
func (s *Server) Close(ctx context.Context) {
	s.acceptor.shutdown(ctx)
	s.workers.Release()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	held, handed := s.Bodies.NewReservation(), false
	defer func() {
		// A request that ran frees its room when it ends, which may be later.
		if !handed {
			held.Release()
		}
	}()
	req, refusal := s.read(w, r, held)
	if refusal != nil {
		s.refuse(w, refusal, 0)
		return
	}
	s.serve(w, r, req, held)
	handed = true
}

// serve runs a request that was read.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req *forward.Request, held *bodies.Reservation) {
	if c := connOf(r); c != nil {
		s.serveInTurn(c, w, r, req, held)
		return
	}
	s.answer(w, req, s.forward(r.Context(), s.forwarder.Match(req), req, held))
}

// forward takes a request to its end, and then frees the room of its body.
func (s *Server) forward(ctx context.Context, to forward.RouteMatch, req *forward.Request, held *bodies.Reservation) call.Result {
	defer held.Release()
	return s.forwarder.ForwardMatched(ctx, to, req)
}

// read takes the whole request in, within its bounds.
func (s *Server) read(w http.ResponseWriter, r *http.Request, held *bodies.Reservation) (*forward.Request, *errkind.Error) {
	out := &forward.Request{
		ID: r.Header.Get(s.headers.RequestID), Host: r.Host, Method: r.Method,
		URI: r.RequestURI, Path: r.URL.EscapedPath(),
	}
	if out.ID == "" {
		return nil, errkind.New(errkind.BadRequest, "the request has no %s header", s.headers.RequestID)
	}
	var refusal *errkind.Error
	if out.Timeout, refusal = timeoutOf(r.Header.Get(s.headers.TimeoutMS)); refusal != nil {
		return nil, refusal
	}
	out.TeamKey = keyOf(r.Header)
	out.Headers = s.requestHeaders(r.Header)
	out.Body, refusal = s.body(w, r, out, held)
	return out, refusal
}

// timeoutOf reads a number of milliseconds; an empty text stands for none.
func timeoutOf(text string) (time.Duration, *errkind.Error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= float64(time.Hour.Milliseconds())) {
		return 0, errkind.New(errkind.BadRequest, "%q is no number of milliseconds", text)
	}
	return max(time.Duration(ms*float64(time.Millisecond)), 1), nil
}

// answer passes on what the backend server answered, whole and unchanged.
func (s *Server) answer(w http.ResponseWriter, req *forward.Request, result call.Result) {
	w.Header().Set(s.headers.RequestID, req.ID)
	if result.Refusal == nil && !isFinal(result.Answer.Status) {
		result.Refusal = errkind.New(errkind.BackendFailed, "the answer's status %d ends no request", result.Answer.Status)
	}
	if result.Refusal != nil {
		s.refuse(w, result.Refusal, result.RetryAfter)
		return
	}
	header := w.Header()
	for _, h := range result.Answer.Headers {
		if !hopByHop(h.Name) {
			header.Add(h.Name, h.Value)
		}
	}
	if header.Get("Content-Type") == "" {
		// A nil value keeps the server from guessing one.
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
	w.WriteHeader(result.Answer.Status)
	// A caller that left is told nothing; the connection ends by itself.
	_, _ = w.Write(result.Answer.Body)
}

// isFinal is true for a status that ends a request. Behind any other one a caller
// would take the answer of its next request for this one's.
func isFinal(status int) bool {
	const least, most = 200, 999
	return status >= least && status <= most
}

// refuse answers at once with what the table says of the kind.
func (s *Server) refuse(w http.ResponseWriter, refusal *errkind.Error, retryAfter time.Duration) {
	row := refusal.Kind.Row()
	if retryAfter <= 0 {
		retryAfter = time.Duration(row.RetryAfterMS) * time.Millisecond
	}
	status := row.Status
	if refusal.Ran == errkind.RanMaybe && status == http.StatusServiceUnavailable {
		// 503 is a promise that the request has not run.
		status = http.StatusBadGateway
	}
	header := w.Header()
	header.Set("Rushramp-Error", row.Name)
	header.Set("Rushramp-Ran", refusal.Ran.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", keyScheme)
	}
	if refusal.Ran == errkind.RanNo && retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	text := row.Name + ": " + refusal.Detail + ". " + row.Advice + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// ownHeader is true for headers that the executor sets itself, so that they
// need not travel to it.
func (s *Server) ownHeader(name string) bool {
	// Backend servers may read an underscore as a hyphen, as CGI does the other way.
	switch http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-")) {
	case http.CanonicalHeaderKey(s.headers.Caller), http.CanonicalHeaderKey(s.headers.Team), http.CanonicalHeaderKey(s.headers.RequestID), http.CanonicalHeaderKey(s.headers.TimeoutMS):
		return true
	}
	return false
}

func (s *Server) requestHeaders(from http.Header) []wire.Header {
	out := make([]wire.Header, 0, len(from))
	named := connectionNames(from)
	for name, values := range from {
		if hopByHop(name) || named[name] || s.ownHeader(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
