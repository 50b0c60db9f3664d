package link

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

var _ call.Acknowledger = (*Client)(nil)

// ackTracker is the entry's side of acknowledgements on one link. It is safe for concurrent
// use.
type ackTracker struct {
	// now is the daemon's clock, in nanoseconds.
	now func() int64
	// enabled is true if the peer acknowledges calls.
	enabled atomic.Bool
	times   acks.Link
	// omitSentUntil is the time, in nanoseconds of the daemon's clock, before which calls do
	// not state when they were sent.
	omitSentUntil atomic.Int64

	mu sync.Mutex
	// acknowledgedID is the highest acknowledged id.
	acknowledgedID uint64
	// waiting holds the calls that wait for an ack, in the order of their ids.
	waiting []waitingCall
}

// waitingCall is a call that has not been acknowledged.
type waitingCall struct {
	id           uint64
	acknowledged func()
}

// setFeatures sets the features that the peer has announced.
func (t *ackTracker) setFeatures(features wire.Features) {
	t.enabled.Store(features.Has(wire.FeatureAcks))
}

// prepare sets the fields of a call frame about acknowledgements. acknowledged is nil if the
// caller does not need an ack.
func (t *ackTracker) prepare(callFrame *wire.Call, acknowledged func()) {
	callFrame.WantAck, callFrame.SentUS = false, 0
	if !t.enabled.Load() {
		return
	}
	if now := t.now(); now >= t.omitSentUntil.Load() {
		callFrame.SentUS = uint64(now/int64(time.Microsecond)) + 1
	}
	callFrame.WantAck = acknowledged != nil
}

// deadlineOf returns the deadline of a call that states when it was sent, in nanoseconds of
// the daemon's clock; 0: none.
func deadlineOf(callFrame *wire.Call) int64 {
	if callFrame.SentUS == 0 || callFrame.Remaining <= 0 {
		return 0
	}
	return int64(callFrame.SentUS-1)*int64(time.Microsecond) + int64(callFrame.Remaining)
}

// checkEnd checks the result of a call with a deadline. If the executor has refused the call
// because its time was used up although time is left, the executor's estimate of the transit
// delay is wrong: this VM's clock may have missed a pause. Calls then do not state when they
// were sent until the executor has forgotten the earlier clock differences, since it would
// refuse them until then.
func (t *ackTracker) checkEnd(deadline int64, result *call.Result) {
	if deadline == 0 || result.Refusal == nil {
		return
	}
	kind := result.Refusal.Kind
	if kind != errkind.DeadlineBeforeRun && kind != errkind.DeadlineWhileRunning {
		return
	}
	if now := t.now(); deadline-now > int64(acks.SchedulingAllowance) {
		t.omitSentUntil.Store(now + int64(acks.TransitWindow))
	}
}

// add registers a call that waits for its ack. Ids must rise. It must be called before the
// call is sent, so that the ack cannot arrive first.
func (t *ackTracker) add(id uint64, acknowledged func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = append(t.waiting, waitingCall{id: id, acknowledged: acknowledged})
}

// received handles a frame of the executor, which may acknowledge calls.
func (t *ackTracker) received(frame wire.Frame) {
	id, ok := acknowledgedID(frame)
	if !ok {
		return
	}
	for _, waiting := range t.take(id) {
		waiting.acknowledged()
	}
}

// take removes the calls up to an id from those that wait, and returns them.
func (t *ackTracker) take(id uint64) []waitingCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id <= t.acknowledgedID {
		return nil
	}
	t.acknowledgedID = id
	count := 0
	for count < len(t.waiting) && t.waiting[count].id <= id {
		count++
	}
	taken := t.waiting[:count:count]
	t.waiting = t.waiting[count:]
	return taken
}

// acknowledgedID returns the id up to which a frame of the executor acknowledges all calls.
func acknowledgedID(frame wire.Frame) (id uint64, ok bool) {
	switch f := frame.(type) {
	case *wire.Ack:
		return f.ID, true
	case *wire.Answer:
		return f.ID, true
	case *wire.Refusal:
		return f.ID, true
	case *wire.Grant:
		return f.ID, true
	}
	return 0, false
}

// Acknowledges implements call.Acknowledger.
func (cl *Client) Acknowledges() bool { return cl.acks.enabled.Load() }

// AckTimes implements call.Acknowledger.
func (cl *Client) AckTimes() *acks.Link { return &cl.acks.times }

// AckEstimate implements call.Acknowledger.
func (cl *Client) AckEstimate() acks.Estimate { return cl.acks.times.Estimate(cl.MinRTT()) }

// ExecuteAcknowledged implements call.Acknowledger.
func (cl *Client) ExecuteAcknowledged(c *wire.Call, body []byte, acknowledged func(), done func(call.Result)) (cancel func()) {
	return cl.execute(c, body, acknowledged, done)
}
