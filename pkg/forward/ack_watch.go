package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/wire"
)

// ackWatch detects that one attempt is not acknowledged in time. The daemon of a VM with a
// slow link still sends heartbeats, so livenessWatch does not notice that a call has not
// arrived there.
type ackWatch struct {
	forwarder *Forwarder
	runner    call.Runner
	// acknowledger is nil for an attempt that asks for no ack. The fields below are then
	// not used.
	acknowledger call.Acknowledger
	bound        acks.Bound
	sentAt       int64
	// minRTT is the shortest round-trip time to the executor; 0: not known.
	minRTT time.Duration
	// dueAt is when the timer is due, in nanoseconds of the daemon's clock.
	dueAt        int64
	acknowledged atomic.Bool
	// recordOnce guards against recording the attempt both as late and as in time.
	recordOnce sync.Once
	// timer is nil while the bound is not known.
	timer *time.Timer
}

// newAckWatch returns the watch of an attempt at runner.
func (a *attempts) newAckWatch(runner call.Runner, minRTT time.Duration) *ackWatch {
	w := &ackWatch{forwarder: a.forwarder, runner: runner, minRTT: minRTT}
	acknowledger, ok := runner.(call.Acknowledger)
	if !ok || !a.needsAck() || !acknowledger.Acknowledges() {
		return w
	}
	w.acknowledger = acknowledger
	w.bound = a.forwarder.acks.Bound(acknowledger.AckEstimate(), a.timeLeft(), a.runTime())
	return w
}

// needsAck reports whether attempts of the request ask for an ack: those of repeatable
// requests that backend servers make during a run.
func (a *attempts) needsAck() bool {
	return a.route.Repeatable && a.forwarder.Settings.Routing.AcknowledgeCalls && a.forwarder.calledRoutes.contains(a.route.Name)
}

// runTime returns the time that a run needs, with the margin that gates require.
func (a *attempts) runTime() time.Duration {
	return time.Duration(gate.RunTimeMargin * float64(a.expectedWork()))
}

// execute sends the call and starts to watch it.
func (w *ackWatch) execute(frame *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	if w.acknowledger == nil {
		return w.runner.Execute(frame, body, done)
	}
	w.sentAt = w.forwarder.Now()
	if w.bound.Late > 0 {
		w.dueAt = w.sentAt + int64(w.bound.Late)
		w.timer = time.NewTimer(w.bound.Late)
	}
	return w.acknowledger.ExecuteAcknowledged(frame, body, w.acknowledge, done)
}

// acknowledge records that the executor has received the call. The link calls it.
func (w *ackWatch) acknowledge() {
	w.acknowledged.Store(true)
	now := w.forwarder.Now()
	took := time.Duration(now - w.sentAt)
	late := w.bound.Late > 0 && took > w.bound.Late
	w.acknowledger.AckTimes().Record(now, took, late)
	w.forwarder.recordOwnLink(now, w.acknowledger.AckTimes(), w.minRTT, took)
	if w.bound.Late > 0 {
		w.recordOnce.Do(func() { w.forwarder.recordAck(now, late) })
	}
}

// due returns the channel that receives when checkLate must be called. It is nil, and never
// receives, for an attempt without a bound.
func (w *ackWatch) due() <-chan time.Time {
	if w.timer == nil {
		return nil
	}
	return w.timer.C
}

// checkLate reports whether the attempt is late and not acknowledged. After a pause of this
// process, it extends the timer and returns false, so that an ack that has arrived can be read.
func (w *ackWatch) checkLate() bool {
	if w.acknowledged.Load() {
		return false
	}
	now := w.forwarder.Now()
	if now-w.dueAt > int64(acks.SchedulingAllowance) {
		w.dueAt = now + int64(acks.SchedulingAllowance)
		w.timer.Reset(acks.SchedulingAllowance)
		return false
	}
	w.recordOnce.Do(func() { w.forwarder.recordAck(now, true) })
	return true
}

func (w *ackWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// recordAck records whether a call was acknowledged late, and logs an event when bounds are
// widened because most calls are.
func (f *Forwarder) recordAck(now int64, late bool) {
	outcome := "in_time"
	if late {
		outcome = "late"
	}
	f.Metrics.GetOrCreateCounter(`rushramp_acks_total{outcome="` + outcome + `"}`).Inc()
	if f.acks.Record(now, late) {
		f.Log.Event(events.AcksLate, events.F("widening", f.acks.Widening()))
	}
}
