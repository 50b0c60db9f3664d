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

// Record takes the outcome of one request; nil when it was answered.
func (o *Outage) Record(err error) {
	down := err != nil
	if o.down.Swap(down) == down {
		return
	}
	if down {
		o.log.Event(PlatformDown, F("what", o.what), F("cause", err))
		return
	}
	o.log.Event(PlatformUp, F("what", o.what))
}
