package events

import "sync/atomic"

// Outage logs when something stops answering, and when it answers again.
type Outage struct {
	log  *Log
	what string
	down atomic.Bool
}

// NewOutage watches what, a name for operators.
func NewOutage(log *Log, what string) *Outage { return &Outage{log: log, what: what} }

// Note takes the outcome of one request; nil when it was answered.
func (self *Outage) Note(err error) {
	down := err != nil
	if self.down.Swap(down) == down {
		return
	}
	if down {
		self.log.Event(PlatformDown, F("what", self.what), F("cause", err))
		return
	}
	self.log.Event(PlatformUp, F("what", self.what))
}
