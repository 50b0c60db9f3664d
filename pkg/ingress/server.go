// Package ingress is the HTTP listener for routed requests.
//
// It uses http.Server of the standard library instead of hertz, because http.Server
// reports that a caller disconnects, closes only idle connections at a planned stop, and
// limits the time for a request's head apart from the time for its body.
// Source: docs/design/libraries.md.
package ingress

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/connections"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/forward"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Headers holds the names of the headers that a caller and the daemon exchange.
type Headers struct {
	// RequestID carries the id of the request, in the request and in its answer.
	RequestID string
	// TimeoutMS carries the time that the caller allows, in milliseconds.
	TimeoutMS string
	// Caller carries the name of the service on whose VM a request began. The daemon
	// sets it for the backend server and drops what callers send in it.
	Caller string
	// Team carries the name of the team whose key came with a request. The daemon sets
	// it for the backend server and drops what callers send in it.
	Team string
}

// DefaultHeaders returns the names that rushramp uses where the platform has none of its
// own.
func DefaultHeaders() Headers {
	return Headers{RequestID: "Rushramp-Request-Id", TimeoutMS: "Rushramp-Timeout", Caller: "Rushramp-Caller", Team: "Rushramp-Team"}
}

// Server listens for routed requests, forwards them and writes their answers. It is safe
// for concurrent use.
type Server struct {
	*common.Common
	headers   Headers
	forwarder *forward.Forwarder
	limits    func() routing.Limits
	acceptor  *acceptor
	// workers is the pool of goroutines for requests that run concurrently with others of
	// their connection.
	workers           *ants.Pool
	keepAlivesStopped atomic.Bool
}

// Start listens on the address listen.routed of the settings. limits returns the limits
// of the placement in force. Start returns an error when the address cannot be opened.
func Start(c *common.Common, h Headers, f *forward.Forwarder, limits func() routing.Limits) (*Server, error) {
	listener, err := net.Listen("tcp", c.Settings.Listen.Routed)
	if err != nil {
		return nil, errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", c.Settings.Listen.Routed, err)
	}
	s := &Server{Common: c, headers: h, forwarder: f, limits: limits}
	return s, s.serveListener(listener)
}

// serveListener starts to accept connections from l.
func (s *Server) serveListener(l net.Listener) error {
	var err error
	if s.workers, err = ants.NewPool(unlimitedWorkers); err != nil {
		return errors.Wrap(err, "cannot create the worker pool for requests")
	}
	limits := s.Settings.Limits
	s.acceptor = newAcceptor(l, s, s.limits)
	s.acceptor.hooks = connHooks{
		pipelineLimits:    PipelineLimits{MaxRequests: limits.PipelinedRequests, MaxBytes: limits.PipelinedBytes},
		keepAlivesStopped: s.keepAlivesStopped.Load, onClosed: s.logPipelineAborted,
		table: connections.NewTable("routed", connections.LimitsOf(limits.MemoryBytes, limits.Descriptors), s.Metrics),
	}
	go s.acceptor.run()
	return nil
}

// unlimitedWorkers is the size of the worker pool. The pool has no limit, because a
// request that waits for a worker would lose part of its timeout; PipelineLimits and the
// gates limit the requests already.
const unlimitedWorkers = -1

// StopKeepAlives makes each answer close its connection from now on.
func (s *Server) StopKeepAlives() { s.keepAlivesStopped.Store(true) }

// Abort ends all requests in flight because the drain of the daemon has ended. Each gets a
// refusal, which says whether it may have run.
func (s *Server) Abort() { s.acceptor.abortAll() }

// Close stops listening, closes idle connections and waits for requests in flight until ctx
// ends. It then aborts the remaining requests and closes the remaining connections.
func (s *Server) Close(ctx context.Context) {
	s.acceptor.shutdown(ctx)
	s.workers.Release()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.keepAlivesStopped.Load() {
		w.Header().Set("Connection", "close")
	}
	memory, hasRoom := s.newRequestMemory(connOf(r))
	served := false
	defer func() {
		// The memory of a request that was served is released when the request ends,
		// which may be after this handler.
		if !served {
			memory.Release()
		}
	}()
	if !hasRoom {
		s.refuseLargeHead(w, r)
		return
	}
	req, refusal := s.readRequest(w, r, memory)
	if refusal != nil {
		s.refuse(w, refusal, 0)
		return
	}
	s.serve(w, r, req, memory)
	served = true
}

// refuseLargeHead refuses a request whose head exceeds the memory for callers.
func (s *Server) refuseLargeHead(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	s.refuse(w, errkind.New(errkind.Overloaded, "the memory for callers' connections has no room for a head of so many lines"), 0)
	// http.Server keeps the request while it waits for the caller to close the connection.
	r.Header = nil
}

// serve forwards a request and writes its answer. For a detached request, it returns
// before that.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, req *forward.Request, memory *requestMemory) {
	if c := connOf(r); c != nil {
		s.servePipelined(c, w, r, req, memory)
		return
	}
	s.writeAnswer(w, req, s.forward(r.Context(), s.forwarder.Match(req), req, memory))
}

// forward forwards a request, waits for its result and releases its memory.
func (s *Server) forward(ctx context.Context, match forward.RouteMatch, req *forward.Request, memory *requestMemory) call.Result {
	defer memory.Release()
	return s.forwarder.ForwardMatched(ctx, match, req)
}

// readRequest reads the whole request. It refuses a request without an id, with an
// invalid timeout, or with a body that receiveBody refuses.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, memory *requestMemory) (*forward.Request, *errkind.Error) {
	out := &forward.Request{
		ID: r.Header.Get(s.headers.RequestID), Host: r.Host, Method: r.Method,
		URI: r.RequestURI, Path: r.URL.EscapedPath(),
	}
	if out.ID == "" {
		return nil, errkind.New(errkind.BadRequest, "the request has no %s header", s.headers.RequestID)
	}
	var refusal *errkind.Error
	if out.Timeout, refusal = parseTimeout(r.Header.Get(s.headers.TimeoutMS)); refusal != nil {
		return nil, refusal
	}
	out.TeamKey = teamKeyOf(r.Header)
	out.Headers = s.headersToForward(r.Header)
	out.Body, refusal = s.receiveBody(w, r, out, memory)
	return out, refusal
}

// maxTimeout is the longest timeout of a request; a longer one counts as this.
const maxTimeout = time.Hour

// parseTimeout parses a timeout in milliseconds, capped at maxTimeout. It returns 0 for an
// empty text, and a refusal for an invalid one.
func parseTimeout(text string) (time.Duration, *errkind.Error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) || math.IsInf(ms, 1) {
		return 0, errkind.New(errkind.BadRequest, "the timeout %q is not a number of milliseconds", text)
	}
	ms = min(ms, float64(maxTimeout.Milliseconds()))
	return max(time.Duration(ms*float64(time.Millisecond)), 1), nil
}

// writeAnswer writes the answer of the backend server, without its hop-by-hop headers, or
// the refusal in result.
func (s *Server) writeAnswer(w http.ResponseWriter, req *forward.Request, result call.Result) {
	w.Header().Set(s.headers.RequestID, req.ID)
	result = result.WithoutBrokenAnswer()
	if result.Refusal != nil {
		s.refuse(w, result.Refusal, result.RetryAfter)
		return
	}
	header := w.Header()
	for _, h := range result.Answer.Headers {
		if !isHopByHop(h.Name) {
			header.Add(h.Name, h.Value)
		}
	}
	if header.Get("Content-Type") == "" {
		// A nil value keeps http.Server from guessing the type.
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
	w.WriteHeader(result.Answer.Status)
	// Writing fails when the caller has disconnected, and nobody is left to tell.
	_, _ = w.Write(result.Answer.Body)
}

// refuse writes the answer for a refusal, with the status and the advice of its kind.
// retryAfter replaces the kind's own Retry-After time unless it is 0.
func (s *Server) refuse(w http.ResponseWriter, refusal *errkind.Error, retryAfter time.Duration) {
	row := refusal.Kind.Row()
	if retryAfter <= 0 {
		retryAfter = time.Duration(row.RetryAfterMS) * time.Millisecond
	}
	status := row.Status
	if refusal.Ran == errkind.RanMaybe && status == http.StatusServiceUnavailable {
		// Status 503 promises that the request has not run.
		status = http.StatusBadGateway
	}
	header := w.Header()
	header.Set("Rushramp-Error", row.Name)
	header.Set("Rushramp-Ran", refusal.Ran.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", teamKeyScheme)
	}
	if refusal.Ran == errkind.RanNo && retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	text := row.Name + ": " + refusal.Detail + ". " + row.Advice + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// isSetByExecutor reports whether the executor sets the header itself, so that the
// caller's header is not forwarded.
func (s *Server) isSetByExecutor(name string) bool {
	// A backend server may treat underscores and hyphens in names as equal, as with CGI.
	switch http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-")) {
	case http.CanonicalHeaderKey(s.headers.Caller), http.CanonicalHeaderKey(s.headers.Team), http.CanonicalHeaderKey(s.headers.RequestID), http.CanonicalHeaderKey(s.headers.TimeoutMS):
		return true
	}
	return false
}

// headersToForward returns the caller's headers without those that are hop-by-hop or set
// by the executor.
func (s *Server) headersToForward(header http.Header) []wire.Header {
	out := make([]wire.Header, 0, len(header))
	options := connectionOptions(header)
	for name, values := range header {
		if isHopByHop(name) || options[name] || s.isSetByExecutor(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}
