package link

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/wire"
)

// unsentFrames describes the frames of a link that were queued and not written as a whole.
type unsentFrames struct {
	frames int
	// results is the number of calls whose results are among the frames.
	results int
}

// unsent returns what Close would drop.
func (c *Conn) unsent() unsentFrames {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsentLocked()
}

// unsentLocked is unsent for a caller that holds mu.
func (c *Conn) unsentLocked() unsentFrames {
	out := unsentFrames{frames: len(c.writing) + len(c.frames) + c.chunks.len()}
	if out.frames == 0 {
		return out
	}
	ids := map[uint64]struct{}{}
	for _, frames := range [][]wire.Frame{c.writing, c.frames} {
		for _, frame := range frames {
			if id, ok := resultID(frame); ok {
				ids[id] = struct{}{}
			}
		}
	}
	for _, chunk := range c.chunks.chunks {
		ids[chunk.ID] = struct{}{}
	}
	out.results = len(ids)
	return out
}

// resultID returns the id of the call whose result the frame belongs to.
func resultID(frame wire.Frame) (id uint64, ok bool) {
	switch f := frame.(type) {
	case *wire.Answer:
		return f.ID, true
	case *wire.Refusal:
		return f.ID, true
	case *wire.Chunk:
		return f.ID, true
	}
	return 0, false
}

// droppedFrames returns what the end of the link has dropped.
func (c *Conn) droppedFrames() unsentFrames {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// logDropped logs that results of calls were dropped when the link ended with cause.
func (s *session) logDropped(cause error) {
	dropped := s.droppedFrames()
	if dropped.results == 0 {
		return
	}
	s.server.Log.Event(events.ResultsDropped, events.F("peer", s.Hello.VM), events.F("results", dropped.results), events.F("frames", dropped.frames), events.F("cause", cause))
}
