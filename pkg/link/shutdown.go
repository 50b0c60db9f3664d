package link

import (
	"context"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// shutdown refuses the calls of the link whose bodies are on the way, and ends the link once
// the results of calls are sent. It closes the link when ctx ends.
func (s *session) shutdown(ctx context.Context) {
	leaving := errkind.New(errkind.Leaving, "the daemon has stopped before the whole body had arrived")
	unstarted, offered := s.takeUnstarted()
	for _, in := range unstarted {
		in.reservation.Release()
		s.sendRefusal(in.call.ID, call.Result{Refusal: leaving, FromExecutor: true})
	}
	for _, in := range offered {
		s.withdraw(in, leaving)
	}
	s.Conn.Shutdown(ctx)
	<-s.done
}

// takeUnstarted removes and returns the calls without offer that have not started, and returns
// those with one.
func (s *session) takeUnstarted() (unstarted, offered []*incomingCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, in := range s.calls {
		switch {
		case in.offer != nil:
			offered = append(offered, in)
		case !in.started:
			delete(s.calls, id)
			unstarted = append(unstarted, in)
		}
	}
	return unstarted, offered
}

// markStarted marks a call without offer as started. It returns false if the call has ended
// before.
func (s *session) markStarted(in *incomingCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.started = s.calls[in.call.ID] == in
	return in.started
}
