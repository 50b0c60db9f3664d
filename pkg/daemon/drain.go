package daemon

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// Leave begins to drain the daemon and returns at once. It is called on SIGTERM, by an
// operator's drain, and when the platform marks the VM as leaving. Source:
// docs/design/members.md.
func (d *Daemon) Leave() {
	d.leaveOnce.Do(func() {
		d.Log.Event(events.DaemonDraining, events.F("calls_in_flight", d.InFlight()))
		go d.drainInOrder(time.Now())
	})
}

// drainInOrder first drains the listener of routed requests and then tells other daemons
// that this one is leaving. Other daemons may use its backend server while the listener
// drains. The drain ends when no call is in flight or Drain.Bound has passed.
func (d *Daemon) drainInOrder(startedAt time.Time) {
	if d.routed != nil {
		d.routed.drain(startedAt)
	}
	d.World.View.SetLeaving()
	if d.Executor != nil {
		d.Executor.Leave()
	}
	d.World.Inbox.Post(true, func(*tables.Mail) {})
	d.awaitCalls(startedAt)
}

// drainPollInterval is the time between two checks for calls in flight during a drain.
const drainPollInterval = 5 * time.Millisecond

// awaitCalls waits at least Drain.Linger after startedAt and then until no call is in flight
// or Drain.Bound has passed. It then closes drained.
func (d *Daemon) awaitCalls(startedAt time.Time) {
	defer close(d.drained)
	bound := d.Settings.Drain.Bound
	// Daemons with a link to this one learn at once that it is leaving. Others learn it
	// when it refuses their calls, for which it stays up for Drain.Linger.
	for time.Since(startedAt) < d.Settings.Drain.Linger || (d.InFlight() > 0 && time.Since(startedAt) < bound) {
		time.Sleep(drainPollInterval)
	}
	d.cutCalls.Store(d.InFlight())
}

// CutCalls returns the number of calls that were still in flight at the end of the drain.
func (d *Daemon) CutCalls() int64 { return d.cutCalls.Load() }

// Drained returns a channel that is closed when the drain has ended.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }
