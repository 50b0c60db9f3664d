package events

import "sync/atomic"

// Outage logs when a part of the platform stops answering and when it answers again. It is
// safe for concurrent use.
type Outage struct {
	log *Log
	// what names the part of the platform in log lines.
	what string
	down atomic.Bool
}

// NewOutage returns an Outage that logs to log. what names the part of the platform, for
// operators.
func NewOutage(log *Log, what string) *Outage { return &Outage{log: log, what: what} }

// Record records the error of a request, nil if it was answered.
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
