package link

import (
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// The reasons why a call is dropped when it arrives: values of a metric label.
const (
	droppedCancelled = "cancelled"
	droppedTimeUsed  = "time_used"
)

// maxKeptFrames is the largest capacity at which the slice of decoded frames is reused.
const maxKeptFrames = 4096

// dropUnneeded refuses a call whose result the entry no longer needs when the call arrives:
// its cancel came in the same message, or its time was used up in transit. Otherwise it
// takes the time in transit off the call's remaining time.
func (s *session) dropUnneeded(f *wire.Call) (dropped bool) {
	now := s.server.Now()
	delay := s.transit.Delay(now, f.SentUS)
	if f.SentUS > 0 {
		s.server.delays.Record(now, s.sender, delay)
	}
	hadTime := f.Remaining > 0
	inTransit := max(delay, s.transit.Least(now, f.SentUS))
	f.Remaining -= inTransit
	if f.Routed.ID != "" {
		f.Routed.TargetRemaining -= inTransit
	}
	switch {
	case s.isCancelledInMessage(f.ID):
		s.drop(f.ID, droppedCancelled, s.withStamp(f, call.Refused(errkind.CallerGone, "the entry cancelled the call before it arrived")))
	case hadTime && f.Remaining <= 0:
		s.drop(f.ID, droppedTimeUsed, s.withStamp(f, call.Refused(errkind.DeadlineBeforeRun, "the call was in transit for %v longer than other calls", inTransit.Round(time.Millisecond))))
	default:
		return false
	}
	return true
}

func (s *session) drop(id uint64, reason string, result call.Result) {
	s.server.Metrics.GetOrCreateCounter(`rushramp_calls_dropped_total{reason="` + reason + `"}`).Inc()
	s.sendRefusal(id, result)
}

// isCancelledInMessage reports whether the message that is being handled cancels a call.
// Only the goroutine that reads messages may call it.
func (c *Conn) isCancelledInMessage(id uint64) bool { return slices.Contains(c.cancelledIDs, id) }

// decodeMessage decodes the frames of a message. It also returns the frames before one that
// cannot be decoded.
func (c *Conn) decodeMessage(data []byte) ([]wire.Frame, error) {
	if cap(c.decoded) > maxKeptFrames {
		c.decoded = nil
	}
	c.decoded, c.cancelledIDs = c.decoded[:0], c.cancelledIDs[:0]
	for len(data) > 0 {
		frame, rest, err := c.codec.Next(data)
		if err != nil {
			return c.decoded, &BadFrameError{Cause: err}
		}
		data = rest
		if frame == nil {
			// A later release has added this type of frame.
			continue
		}
		if cancel, ok := frame.(*wire.Cancel); ok {
			c.cancelledIDs = append(c.cancelledIDs, cancel.ID)
		}
		c.decoded = append(c.decoded, frame)
	}
	return c.decoded, nil
}
