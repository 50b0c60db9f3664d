package ingress

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/forward"
)

// outcome is how the forwarding of a request ended.
type outcome struct {
	result call.Result
	// panicked is the value of the panic that ended it, or nil.
	panicked any
}

// servePipelined serves a request of a pipelinedConn. A repeatable request may run
// concurrently with the other ones of its connection; any other request starts after all
// earlier ones are answered.
func (s *Server) servePipelined(c *pipelinedConn, w http.ResponseWriter, r *http.Request, req *forward.Request, memory *requestMemory) {
	size := requestSize(req)
	req.PipelinedBehind = c.beginRequest(r.ContentLength)
	match, concurrent, ok := s.waitToStart(c, r, req, size)
	if !ok {
		abortHandler(memory)
	}
	s.recordPipelined(c, req)
	if !concurrent {
		result := s.forward(r.Context(), match, req, memory)
		c.options.entry.EndRun()
		s.answerDirectly(c, w, req, result)
		return
	}
	detach := func() *queuedAnswer {
		out := c.detach(size, r.Close)
		if out == nil {
			abortHandler(memory)
		}
		return out
	}
	s.serveConcurrently(c, w, req, detach, func() outcome { return s.forwardRecovered(c, match, req, memory) })
}

// abortHandler ends the handler of a request whose connection has closed after an earlier
// answer. The request counts as not read.
func abortHandler(memory *requestMemory) {
	memory.Release()
	panic(http.ErrAbortHandler)
}

// waitToStart waits until the request may start, and returns its route. concurrent is
// true when other requests of the connection may run at the same time. ok is false when
// the connection has closed.
func (s *Server) waitToStart(c *pipelinedConn, r *http.Request, req *forward.Request, size int) (match forward.RouteMatch, concurrent, ok bool) {
	match = s.forwarder.Match(req)
	for {
		concurrent = match.Repeatable() && r.ProtoAtLeast(1, 1) && c.options.limits.MaxRequests > 1
		waited, ok := c.answers.waitToStart(c.ctx, concurrent, size)
		if !ok || !waited {
			return match, concurrent, ok
		}
		// The routes may have changed during the wait.
		newMatch := s.forwarder.Match(req)
		if newMatch.Repeatable() == match.Repeatable() {
			return newMatch, concurrent, true
		}
		match = newMatch
	}
}

// recordPipelined sets PipelineWait and updates the metrics for a request that arrived
// while earlier requests of its connection were unanswered.
func (s *Server) recordPipelined(c *pipelinedConn, req *forward.Request) {
	if req.PipelinedBehind == 0 {
		return
	}
	req.PipelineWait = time.Since(c.reader.lastArrival())
	s.Metrics.GetOrCreateCounter("rushramp_pipelined_total").Inc()
	s.Metrics.GetOrCreateHistogram("rushramp_pipelined_depth").Update(float64(req.PipelinedBehind))
	s.Metrics.GetOrCreateHistogram("rushramp_pipelined_wait_seconds").Update(req.PipelineWait.Seconds())
}

// serveConcurrently runs a request that other requests of its connection may run beside.
// It detaches the request as soon as bytes have arrived behind it, so that http.Server
// can read the next one. Otherwise http.Server writes the answer.
func (s *Server) serveConcurrently(c *pipelinedConn, w http.ResponseWriter, req *forward.Request, detach func() *queuedAnswer, run func() outcome) {
	ended := make(chan outcome, 1)
	if c.reader.isReadAhead() {
		queued := detach()
		s.startWorker(func() { s.answerDetached(c, queued, req, run()) })
		return
	}
	s.startWorker(func() { ended <- run() })
	select {
	case o := <-ended:
		if o.panicked != nil {
			panic(o.panicked)
		}
		s.answerDirectly(c, w, req, o.result)
	case <-c.reader.moreBytes:
		queued := detach()
		go func() { s.answerDetached(c, queued, req, <-ended) }()
	}
}

// answerDirectly lets http.Server write an answer. It decides here whether the connection
// closes, because keep-alives may have been stopped while the request ran.
func (s *Server) answerDirectly(c *pipelinedConn, w http.ResponseWriter, req *forward.Request, result call.Result) {
	c.reader.unwatch()
	defer c.holdAnswer(&result, ordinaryAnswerBytes)()
	if c.options.closeAfterAnswer() {
		w.Header().Set("Connection", "close")
	}
	s.writeAnswer(w, req, result)
}

// startWorker runs f on a goroutine of the pool. A new goroutine would start with a small
// stack, whose growth costs processor time on each request.
func (s *Server) startWorker(f func()) {
	if s.workers == nil || s.workers.Submit(f) != nil {
		// The pool accepts no work once the listener is closed.
		go f()
	}
}

// forwardRecovered forwards a request and recovers from a panic, because the forwarding
// may last longer than the handler, whose panics http.Server recovers from.
func (s *Server) forwardRecovered(c *pipelinedConn, match forward.RouteMatch, req *forward.Request, memory *requestMemory) (out outcome) {
	defer func() {
		if value := recover(); value != nil {
			out.panicked = value
		}
		c.options.entry.EndRun()
	}()
	return outcome{result: s.forward(c.ctx, match, req, memory)}
}

// answerDetached passes the answer of a detached request to its connection. It recovers
// from a panic, which would end the process otherwise.
func (s *Server) answerDetached(c *pipelinedConn, queued *queuedAnswer, req *forward.Request, o outcome) {
	defer func() {
		if value := recover(); value != nil {
			s.closeAfterPanic(c, req, value)
		}
	}()
	if o.panicked != nil {
		s.closeAfterPanic(c, req, o.panicked)
		return
	}
	release := c.holdAnswer(&o.result, 0)
	out := newBufferedAnswer(req.Method)
	s.writeAnswer(out, req, o.result)
	out.release = release
	c.deliver(queued, out)
}

// closeAfterPanic logs the value of a panic and closes the connection of its request.
func (s *Server) closeAfterPanic(c *pipelinedConn, req *forward.Request, value any) {
	s.Log.Event(events.PipelineFault, events.F("request", req.ID), events.F("fault", fmt.Sprint(value)))
	c.closeNow()
}

// logPipelineAborted logs that a connection has closed with unanswered requests or unread
// bytes.
func (s *Server) logPipelineAborted(unanswered, unreadBytes int) {
	s.Log.Event(events.PipelineAborted, events.F("unanswered", unanswered), events.F("unread_bytes", unreadBytes))
}

// requestSize returns the memory that a request takes up, in bytes.
func requestSize(req *forward.Request) int {
	size := len(req.URI) + len(req.Body)
	for _, h := range req.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
