package link

import (
	"context"
	"strconv"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// shutdown refuses the calls of the link whose bodies are on the way, and ends the link once
// the results of calls are sent. It closes the link when ctx ends.
func (s *session) shutdown(ctx context.Context) {
	leaving := errkind.New(errkind.Leaving, "the daemon has stopped before the whole body had arrived")
	unstarted, offered, lastAccepted := s.stop()
	for _, in := range unstarted {
		in.reservation.Release()
		s.sendRefusal(in.call.ID, call.Result{Refusal: leaving, FromExecutor: true})
	}
	for _, in := range offered {
		s.withdraw(in, leaving)
	}
	s.Conn.Shutdown(ctx, lastAccepted)
	<-s.done
}

// stop makes the session accept no further calls. It removes and returns the calls without offer
// that have not started, and returns those with one.
func (s *session) stop() (unstarted, offered []*incomingCall, lastAccepted uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for id, in := range s.calls {
		switch {
		case in.offer != nil:
			offered = append(offered, in)
		case !in.started:
			delete(s.calls, id)
			unstarted = append(unstarted, in)
		}
	}
	return unstarted, offered, s.lastAccepted
}

// addCall adds a call that has arrived. It returns false once the session has stopped: the entry
// learns from the end of the link that the call has not run.
func (s *session) addCall(in *incomingCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.calls[in.call.ID] = in
	s.lastAccepted = in.call.ID
	return true
}

// markStarted marks a call without offer as started. It returns false if the call has ended
// before.
func (s *session) markStarted(in *incomingCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.started = s.calls[in.call.ID] == in
	return in.started
}

// lastCallOf returns the lastCall of the Shutdown by which the peer has ended a link with this
// error; stated is false if the link ended otherwise.
func lastCallOf(err error) (lastCall uint64, stated bool) {
	var closed *websocket.CloseError
	if !errors.As(err, &closed) || closed.Code != websocket.CloseGoingAway {
		return 0, false
	}
	lastCall, err = strconv.ParseUint(closed.Text, 10, 64)
	return lastCall, err == nil
}

// Shutdown ends the link without dropping frames: it writes those that are queued and waits
// until the peer has read them and closed the link. It closes the link when ctx ends. The peer
// is told that its calls with ids above lastCall have not run.
func (c *Conn) Shutdown(ctx context.Context, lastCall uint64) {
	c.mu.Lock()
	c.ending, c.lastCall = true, lastCall
	c.wake.Broadcast()
	c.mu.Unlock()
	select {
	case <-c.ended:
	case <-ctx.Done():
		c.Close()
	}
}

// sendClose begins the closing handshake of WebSocket, which the peer's reader completes.
// Closing the connection right away could reset it, with frames that the peer has not
// received yet.
func (c *Conn) sendClose() {
	c.mu.Lock()
	message := websocket.FormatCloseMessage(websocket.CloseGoingAway, strconv.FormatUint(c.lastCall, 10))
	c.mu.Unlock()
	if err := c.ws.WriteControl(websocket.CloseMessage, message, time.Now().Add(writeTimeout)); err != nil {
		c.Close()
	}
}
