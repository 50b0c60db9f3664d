package ingress

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/forward"
)

// outcome is how the run of a request ended.
type outcome struct {
	result call.Result
	// fault is what the run panicked with.
	fault any
}

// serveInTurn runs a request beside those before it on its connection where it
// may, and after them where it may not.
func (s *Server) serveInTurn(c *conn, w http.ResponseWriter, r *http.Request, req *forward.Request, held *bodies.Reservation) {
	size := sizeOf(req)
	req.PipelinedBehind = c.begin(r.ContentLength)
	to, beside, ok := s.admit(c, r, req, size)
	if !ok {
		abort(held)
	}
	s.noteBehind(c, req)
	if !beside {
		s.answerNow(c, w, req, s.forward(r.Context(), to, req, held))
		return
	}
	place := func() *turn {
		out := c.place(size, r.Close)
		if out == nil {
			abort(held)
		}
		return out
	}
	s.serveBeside(c, w, req, place, func() outcome { return s.run(c, to, req, held) })
}

// abort ends the handler of a request whose connection an answer has closed: it
// counts as not read.
func abort(held *bodies.Reservation) {
	held.Release()
	panic(http.ErrAbortHandler)
}

// admit waits until the request may start. beside is true when others may start
// beside it.
func (s *Server) admit(c *conn, r *http.Request, req *forward.Request, size int) (to forward.RouteMatch, beside, ok bool) {
	to = s.forwarder.Match(req)
	for {
		beside = to.Repeatable() && r.ProtoAtLeast(1, 1) && c.deps.bounds.MaxRequests > 1
		waited, ok := c.turns.enter(c.ctx, beside, size)
		if !ok || !waited {
			return to, beside, ok
		}
		// Routes may have changed meanwhile.
		again := s.forwarder.Match(req)
		if again.Repeatable() == to.Repeatable() {
			return again, beside, true
		}
		to = again
	}
}

// noteBehind notes a request that came while others of its connection were
// unanswered.
func (s *Server) noteBehind(c *conn, req *forward.Request) {
	if req.PipelinedBehind == 0 {
		return
	}
	req.PipelineWait = time.Since(c.in.lastArrival())
	s.Metrics.GetOrCreateCounter("rushramp_pipelined_total").Inc()
	s.Metrics.GetOrCreateHistogram("rushramp_pipelined_depth").Update(float64(req.PipelinedBehind))
	s.Metrics.GetOrCreateHistogram("rushramp_pipelined_wait_seconds").Update(req.PipelineWait.Seconds())
}

// serveBeside runs a request so that others may run beside it. As long as
// nothing comes behind it, the standard server writes its answer.
func (s *Server) serveBeside(c *conn, w http.ResponseWriter, req *forward.Request, place func() *turn, run func() outcome) {
	ended := make(chan outcome, 1)
	if c.in.isAhead() {
		of := place()
		s.start(func() { s.finish(c, of, req, run()) })
		return
	}
	s.start(func() { ended <- run() })
	select {
	case o := <-ended:
		if o.fault != nil {
			panic(o.fault)
		}
		s.answerNow(c, w, req, o.result)
	case <-c.in.behind:
		of := place()
		go func() { s.finish(c, of, req, <-ended) }()
	}
}

// answerNow has the standard server write an answer. Whether the connection ends is
// looked at here: the daemon may have begun to leave while the request ran.
func (s *Server) answerNow(c *conn, w http.ResponseWriter, req *forward.Request, result call.Result) {
	c.in.unwatch()
	if c.deps.closing() {
		w.Header().Set("Connection", "close")
	}
	s.answer(w, req, result)
}

// start runs f on a goroutine that has run others before: a new one begins with
// a small stack, whose growth costs 6 of 44 us of processor time a request
// (BenchmarkRepeatableOneAtATime, medians of seven runs by turns).
func (s *Server) start(f func()) {
	if s.workers == nil || s.workers.Submit(f) != nil {
		// The pool takes no more once the listener is closed.
		go f()
	}
}

// run takes a request to its end. The standard server would recover from a
// fault of a handler; this does for runs that outlast theirs.
func (s *Server) run(c *conn, to forward.RouteMatch, req *forward.Request, held *bodies.Reservation) (out outcome) {
	defer func() {
		if fault := recover(); fault != nil {
			out.fault = fault
		}
	}()
	return outcome{result: s.forward(c.ctx, to, req, held)}
}

// finish hands the answer of a detached request to its connection. No fault of one
// request ends the process: nobody else would recover from it here.
func (s *Server) finish(c *conn, of *turn, req *forward.Request, o outcome) {
	defer func() {
		if fault := recover(); fault != nil {
			s.noteFault(c, req, fault)
		}
	}()
	if o.fault != nil {
		s.noteFault(c, req, o.fault)
		return
	}
	out := newAnswer(req.Method)
	s.answer(out, req, o.result)
	c.finish(of, out)
}

// noteFault ends the connection of a request whose handling failed.
func (s *Server) noteFault(c *conn, req *forward.Request, fault any) {
	s.Log.Event(events.PipelineFault, events.F("request", req.ID), events.F("fault", fmt.Sprint(fault)))
	c.end()
}

// noteCut logs a connection that ended with requests unanswered or unread.
func (s *Server) noteCut(unanswered, unread int) {
	s.Log.Event(events.PipelineAborted, events.F("unanswered", unanswered), events.F("unread_bytes", unread))
}

// sizeOf is what a request holds in memory while it waits, in bytes.
func sizeOf(req *forward.Request) int {
	size := len(req.URI) + len(req.Body)
	for _, h := range req.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
