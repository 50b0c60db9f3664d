package daemon

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
)

// Leave begins to drain the daemon and returns at once. It is called by an operator's drain, and
// when the platform marks the VM as leaving. Source: docs/design/members.md.
func (d *Daemon) Leave() { d.leaveSince(time.Now()) }

// leaveSince is Leave for an order to leave that came earlier, such as a signal during the start.
func (d *Daemon) leaveSince(orderedAt time.Time) {
	d.leaveOnce.Do(func() {
		d.Log.Event(events.DaemonDraining, events.F("calls_in_flight", d.InFlight()))
		go d.drainInOrder(orderedAt)
	})
}

// drainSchedule holds the times of a drain.
type drainSchedule struct {
	startedAt time.Time
	// acceptUntil is when the listener of routed requests closes and the executor refuses all
	// calls.
	acceptUntil time.Time
	// lastDeadline is the latest deadline that a request may have to be accepted.
	lastDeadline time.Time
	// abortAt is when routed requests in flight are aborted and waiting calls are refused. Their
	// callers get refusals.
	abortAt time.Time
	// end is when calls in flight are cut.
	end time.Time
}

const (
	// abortLead is how long before its end a drain aborts routed requests, so that their
	// callers get the refusals.
	abortLead = 300 * time.Millisecond
	// deadlineSlack is how long before the abort the deadlines of the accepted requests end at
	// the latest, so that they are answered by then.
	deadlineSlack = 100 * time.Millisecond
)

func newDrainSchedule(startedAt time.Time, s *settings.Settings) drainSchedule {
	bound := s.Drain.Bound
	abortAfter := max(bound-abortLead, 0)
	return drainSchedule{
		startedAt: startedAt, acceptUntil: startedAt.Add(lingerOf(s.Routing.Linger, bound)),
		lastDeadline: startedAt.Add(max(abortAfter-deadlineSlack, 0)), abortAt: startedAt.Add(abortAfter), end: startedAt.Add(bound),
	}
}

// lingerOf returns how long a draining daemon accepts requests: linger, but no longer than half
// of the bound of the drain, so that these requests can end.
func lingerOf(linger, bound time.Duration) time.Duration { return min(linger, bound/2) }

// drainInOrder first drains the listener of routed requests and then tells other daemons
// that this one is leaving. Other daemons may use its backend server while the listener
// drains. The drain ends when no call is in flight or Drain.Bound has passed. A drain of a daemon
// that is being started begins once that is done.
func (d *Daemon) drainInOrder(startedAt time.Time) {
	<-d.started
	schedule := newDrainSchedule(startedAt, d.Settings)
	d.drainEnd.Store(&schedule.end)
	abort := time.AfterFunc(time.Until(schedule.abortAt), d.abort)
	defer abort.Stop()
	if d.routed != nil {
		d.routed.drain(schedule)
	}
	d.World.View.SetLeaving()
	if d.Executor != nil {
		d.Executor.Leave()
	}
	d.World.Inbox.Post(true, func(*tables.Mail) {})
	d.awaitCalls(schedule)
}

// abort refuses the calls that have not run at the end of a drain, and ends the routed requests
// that are still in flight.
func (d *Daemon) abort() {
	if d.Executor != nil {
		d.Executor.RefuseWaiting()
	}
	if d.routed != nil {
		d.routed.abort()
	}
}

// drainPollInterval is the time between two checks for calls in flight during a drain.
const drainPollInterval = 5 * time.Millisecond

// awaitCalls waits at least Drain.Linger after the start of the drain and then until no call
// is in flight or the drain ends. It then closes drained.
func (d *Daemon) awaitCalls(schedule drainSchedule) {
	defer close(d.drained)
	// Daemons with a link to this one learn at once that it is leaving. Others learn it
	// when it refuses their calls, for which it stays up for Drain.Linger.
	for time.Since(schedule.startedAt) < d.Settings.Drain.Linger || (d.InFlight() > 0 && time.Now().Before(schedule.end)) {
		time.Sleep(drainPollInterval)
	}
	d.cutCalls.Store(d.InFlight())
}

// CutCalls returns the number of calls that were still in flight at the end of the drain.
func (d *Daemon) CutCalls() int64 { return d.cutCalls.Load() }

// Drained returns a channel that is closed when the drain has ended.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

const (
	// linkCloseTimeout is how long the links of other daemons may take to close within a drain.
	linkCloseTimeout = time.Second
	// lateLinkCloseTimeout is that time at the end of a drain, and for a daemon that does not
	// drain.
	lateLinkCloseTimeout = 100 * time.Millisecond
)

// shutdownLinks ends the links of other daemons once these have read what was sent to them.
func (d *Daemon) shutdownLinks() {
	links := d.links.Load()
	if links == nil {
		return
	}
	timeout := lateLinkCloseTimeout
	if end := d.drainEnd.Load(); end != nil {
		timeout = max(timeout, min(linkCloseTimeout, time.Until(*end)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	links.Shutdown(ctx)
}
