package link

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/websocket"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// connectAcks opens a link to a new server that announces features.
func connectAcks(t *testing.T, features wire.Features, runner call.Runner) (*Client, *Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := Listen(testCommon(), &nopHandler{up: make(chan *Peer, 10), features: features}, runner, listener, nil, NewHeartbeatTiming(testIdle))
	handler := &nopHandler{up: make(chan *Peer, 10)}
	client, err := DialClient(context.Background(), testCommon(), handler, listener.Addr().String(), DialOptions{HeartbeatTiming: NewHeartbeatTiming(testIdle)})
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		client.Run()
		close(ended)
	}()
	<-handler.up
	t.Cleanup(func() {
		client.Close()
		server.Close()
		<-ended
	})
	return client, server
}

// receivedCalls is a runner that passes on the calls that it gets, and never answers.
type receivedCalls chan *wire.Call

func (r receivedCalls) Execute(c *wire.Call, _ []byte, _ func(call.Result)) func() {
	r <- c
	return func() {}
}

// TestAnExecutorAcknowledgesACallThatItDoesNotAnswer checks that a call without a result is
// acknowledged over a real link.
func TestAnExecutorAcknowledgesACallThatItDoesNotAnswer(t *testing.T) {
	calls := make(receivedCalls, 2)
	client, _ := connectAcks(t, wire.FeatureAcks, calls)
	must.True(t, client.Acknowledges())
	acknowledged := make(chan struct{})
	client.ExecuteAcknowledged(&wire.Call{Remaining: time.Second}, nil, func() { close(acknowledged) }, ignore)
	<-acknowledged
	received := <-calls
	test.True(t, received.WantAck)
	test.Positive(t, received.SentUS)
	client.Execute(&wire.Call{Remaining: time.Second}, nil, ignore)
	received = <-calls
	test.False(t, received.WantAck)
	test.Positive(t, received.SentUS)
}

// TestAPeerWithoutTheFeatureGetsCallsAsBefore checks that a peer of the previous release is
// asked for no acks, and that calls to it are not acknowledged.
func TestAPeerWithoutTheFeatureGetsCallsAsBefore(t *testing.T) {
	calls := make(receivedCalls, 1)
	client, _ := connectAcks(t, 0, calls)
	must.False(t, client.Acknowledges())
	client.ExecuteAcknowledged(&wire.Call{Remaining: time.Second}, nil, func() { t.Error("acknowledged") }, ignore)
	received := <-calls
	test.False(t, received.WantAck)
	test.Eq(t, 0, received.SentUS)
	test.Eq(t, time.Second, received.Remaining)
}

// TestAnAnswerAcknowledgesTheCallsBeforeIt: the first call gets no frame of its own.
func TestAnAnswerAcknowledgesTheCallsBeforeIt(t *testing.T) {
	tracker := &ackTracker{now: func() int64 { return 1 }}
	var got []uint64
	for id := range uint64(6) {
		tracker.add(id+1, func() { got = append(got, id+1) })
	}
	for _, s := range []struct {
		frame wire.Frame
		want  []uint64
	}{
		{&wire.Chunk{ID: 6}, nil},
		{&wire.Answer{ID: 2}, []uint64{1, 2}},
		{&wire.Refusal{ID: 1}, nil},
		{&wire.Refusal{ID: 3}, []uint64{3}},
		{&wire.Grant{ID: 4}, []uint64{4}},
		{&wire.Ack{ID: 9}, []uint64{5, 6}},
	} {
		got = nil
		tracker.received(s.frame)
		test.Eq(t, s.want, got)
	}
}

// sentFrames records the frames that an ackSender sends.
type sentFrames struct {
	mu     sync.Mutex
	frames []wire.Frame
}

func (s *sentFrames) send(frames ...wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frames = append(s.frames, frames...)
	return nil
}

// TestOneAckServesAllCalls checks that one Ack frame acknowledges all calls that wait for it,
// and that none is sent where another frame acknowledges them in time.
func TestOneAckServesAllCalls(t *testing.T) {
	wants := func(id uint64) *wire.Call { return &wire.Call{ID: id, WantAck: true} }
	scenarios := []struct {
		name string
		play func(a *ackSender)
		want []wire.Frame
	}{
		{"several calls", func(a *ackSender) {
			a.received(wants(1))
			a.received(wants(2))
			a.received(&wire.Call{ID: 3})
		}, []wire.Frame{&wire.Ack{ID: 3}}},
		{"an answer in time", func(a *ackSender) {
			a.received(wants(1))
			a.sent([]wire.Frame{&wire.Answer{ID: 1}})
		}, nil},
		{"an answer is sent while the timer fires", func(a *ackSender) {
			a.received(wants(1))
			a.sent([]wire.Frame{&wire.Answer{ID: 1}})
			a.due()
		}, nil},
		{"the answer to a later call", func(a *ackSender) {
			a.received(wants(1))
			a.received(&wire.Call{ID: 2})
			a.sent([]wire.Frame{&wire.Refusal{ID: 2}})
		}, nil},
		{"the answer to an earlier call", func(a *ackSender) {
			a.received(wants(1))
			a.received(wants(2))
			a.sent([]wire.Frame{&wire.Answer{ID: 1}})
		}, []wire.Frame{&wire.Ack{ID: 2}}},
		{"no call asks for one", func(a *ackSender) { a.received(&wire.Call{ID: 1}) }, nil},
		{"the link has ended", func(a *ackSender) {
			a.received(wants(1))
			a.stop()
		}, nil},
		{"a call after an ack", func(a *ackSender) {
			a.received(wants(1))
			time.Sleep(2 * acks.MaxDelay)
			a.received(wants(2))
		}, []wire.Frame{&wire.Ack{ID: 1}, &wire.Ack{ID: 2}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out sentFrames
				a := &ackSender{send: out.send}
				s.play(a)
				time.Sleep(2 * acks.MaxDelay)
				synctest.Wait()
				test.Eq(t, s.want, out.frames)
			})
		})
	}
}

// rawEntry is an entry that sends frames as a test states them.
type rawEntry struct {
	t     *testing.T
	ws    *websocket.Conn
	codec *wire.Codec
	// unread holds the frames of the last message that have not been read.
	unread []byte
}

// dialRaw opens a link to server and sends its hello frame.
func dialRaw(t *testing.T, server *Server) *rawEntry {
	return dialRawWith(t, server, &wire.Hello{VM: "raw"})
}

// dialRawWith is dialRaw with a hello frame.
func dialRawWith(t *testing.T, server *Server, hello *wire.Hello) *rawEntry {
	ws, resp, err := websocket.DefaultDialer.Dial("ws://"+server.address+linkPath, nil)
	must.NoError(t, err)
	_ = resp.Body.Close()
	t.Cleanup(func() { _ = ws.Close() })
	must.NoError(t, ws.SetReadDeadline(time.Now().Add(testIdle)))
	codec, err := wire.NewCodec()
	must.NoError(t, err)
	out := &rawEntry{t: t, ws: ws, codec: codec}
	out.send(hello)
	return out
}

// send sends frames in one message.
func (r *rawEntry) send(frames ...wire.Frame) {
	var buf bytes.Buffer
	for _, frame := range frames {
		must.NoError(r.t, r.codec.Append(&buf, frame))
	}
	must.NoError(r.t, r.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes()))
}

// emptyBody returns the body of a call without one.
func emptyBody() wire.Body {
	body, _ := wire.Split(nil)
	return body
}

// refusal returns the next refusal that the executor sends.
func (r *rawEntry) refusal() *wire.Refusal {
	for {
		if len(r.unread) == 0 {
			_, data, err := r.ws.ReadMessage()
			must.NoError(r.t, err)
			r.unread = data
		}
		frame, rest, err := r.codec.Next(r.unread)
		must.NoError(r.t, err)
		r.unread = rest
		if refusal, ok := frame.(*wire.Refusal); ok {
			return refusal
		}
	}
}

// TestACallCancelledInTheSameMessageNeverStarts checks calls with complete and incomplete
// bodies, and that the next call starts.
func TestACallCancelledInTheSameMessageNeverStarts(t *testing.T) {
	calls := make(receivedCalls, 4)
	_, server := connectAcks(t, wire.FeatureAcks, calls)
	entry := dialRaw(t, server)
	body, chunks := wire.Split(make([]byte, wire.ChunkSize+1))
	chunks[0].ID = 2
	entry.send(
		&wire.Call{ID: 1, Remaining: time.Second, Body: emptyBody()}, &wire.Call{ID: 2, Remaining: time.Second, Body: body},
		&wire.Cancel{ID: 1}, &wire.Cancel{ID: 2}, chunks[0], &wire.Call{ID: 3, Remaining: time.Second, Body: emptyBody()},
	)
	for id := range uint64(2) {
		refusal := entry.refusal()
		test.Eq(t, id+1, refusal.ID)
		test.Eq(t, errkind.CallerGone, errkind.Kind(refusal.Kind))
		test.Eq(t, errkind.RanNo, errkind.Ran(refusal.Ran))
		test.False(t, refusal.Offered)
	}
	test.Eq(t, 3, (<-calls).ID)
	test.Eq(t, 0, len(calls))
	test.Eq(t, 0, server.Bodies.Reserved())
}

// TestACallCancelledBeforeItsBodyIsCompleteEnds: without a refusal, the entry would count it
// as outstanding at this executor until the link ends.
func TestACallCancelledBeforeItsBodyIsCompleteEnds(t *testing.T) {
	_, server := connectAcks(t, wire.FeatureAcks, make(receivedCalls, 1))
	entry := dialRaw(t, server)
	body, _ := wire.Split(make([]byte, wire.ChunkSize+1))
	entry.send(&wire.Call{ID: 1, Remaining: time.Second, Body: body})
	entry.send(&wire.Cancel{ID: 1})
	refusal := entry.refusal()
	test.Eq(t, errkind.CallerGone, errkind.Kind(refusal.Kind))
	test.Eq(t, errkind.RanNo, errkind.Ran(refusal.Ran))
	test.Eq(t, 0, server.Bodies.Reserved())
}

// TestTheTransitDelayIsTakenOffTheTimeOfACall checks the time that calls have left, and that a
// call whose time is used up does not run.
func TestTheTransitDelayIsTakenOffTheTimeOfACall(t *testing.T) {
	const delay = 10 * time.Second
	sentUS := uint64(time.Hour / time.Microsecond)
	delayedUS := sentUS - uint64(delay/time.Microsecond)
	routed := wire.Routed{ID: "r", TargetRemaining: delay + time.Second}
	calls := make(receivedCalls, 4)
	_, server := connectAcks(t, wire.FeatureAcks, calls)
	entry := dialRaw(t, server)
	entry.send(&wire.Call{ID: 1, Remaining: delay + 10*time.Second, SentUS: sentUS, Routed: routed, Body: emptyBody()})
	first := <-calls
	test.Eq(t, delay+10*time.Second, first.Remaining)
	test.Eq(t, delay+time.Second, first.Routed.TargetRemaining)
	entry.send(&wire.Call{ID: 2, Remaining: delay + 10*time.Second, SentUS: delayedUS, Routed: routed, Body: emptyBody()})
	second := <-calls
	test.LessEq(t, 10*time.Second, second.Remaining)
	test.LessEq(t, time.Second, second.Routed.TargetRemaining)
	entry.send(&wire.Call{ID: 3, Remaining: delay, SentUS: delayedUS, Body: emptyBody()}, &wire.Call{ID: 4, Remaining: delay, Body: emptyBody()})
	refusal := entry.refusal()
	test.Eq(t, 3, refusal.ID)
	test.Eq(t, errkind.DeadlineBeforeRun, errkind.Kind(refusal.Kind))
	test.Eq(t, errkind.RanNo, errkind.Ran(refusal.Ran))
	unstated := <-calls
	test.Eq(t, 4, unstated.ID)
	test.Eq(t, delay, unstated.Remaining, test.Sprint("an entry of the previous release does not state the time"))
}

// TestAnExecutorThatEndsLeavesItsCallsUnacknowledged: their result is the end of the link, as
// before.
func TestAnExecutorThatEndsLeavesItsCallsUnacknowledged(t *testing.T) {
	calls := make(receivedCalls, 1)
	client, server := connectAcks(t, wire.FeatureAcks, calls)
	done := make(chan call.Result, 1)
	client.ExecuteAcknowledged(&wire.Call{Remaining: time.Second}, nil, func() {}, func(r call.Result) { done <- r })
	<-calls
	server.Close()
	result := <-done
	test.Eq(t, errkind.LinkLost, result.Refusal.Kind)
	test.Eq(t, errkind.RanMaybe, result.Refusal.Ran)
}

// TestAWrongTransitDelayIsNotRepeated: after a pause that the entry's clock has missed, the
// executor would refuse calls that have time left until it has forgotten the earlier clock
// differences.
func TestAWrongTransitDelayIsNotRepeated(t *testing.T) {
	scenarios := []struct {
		name      string
		remaining time.Duration
		result    call.Result
		states    bool
	}{
		{"refused with time left", time.Hour, call.Refused(errkind.DeadlineBeforeRun, ""), false},
		{"ended with time left", time.Hour, call.Refused(errkind.DeadlineWhileRunning, ""), false},
		{"no time left", time.Nanosecond, call.Refused(errkind.DeadlineBeforeRun, ""), true},
		{"no deadline", 0, call.Refused(errkind.DeadlineBeforeRun, ""), true},
		{"another refusal", time.Hour, call.Refused(errkind.Overloaded, ""), true},
		{"an answer", time.Hour, call.Result{Answer: &call.Answer{Status: 200}}, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			calls := make(chan *wire.Call, 2)
			client, _ := connectAcks(t, wire.FeatureAcks, runnerFunc(func(c *wire.Call, _ []byte, done func(call.Result)) func() {
				calls <- c
				done(s.result)
				return func() {}
			}))
			for _, remaining := range []time.Duration{s.remaining, time.Hour} {
				ended := make(chan struct{})
				client.Execute(&wire.Call{Remaining: remaining}, nil, func(call.Result) { close(ended) })
				<-ended
			}
			test.Positive(t, (<-calls).SentUS)
			test.Eq(t, s.states, (<-calls).SentUS > 0)
		})
	}
}

// TestCallsStateTheirTimeAgain checks that calls state when they were sent once the executor
// has forgotten the earlier clock differences.
func TestCallsStateTheirTimeAgain(t *testing.T) {
	now := int64(time.Hour)
	tracker := &ackTracker{now: func() int64 { return now }}
	tracker.setFeatures(wire.FeatureAcks)
	early := call.Refused(errkind.DeadlineBeforeRun, "")
	tracker.checkEnd(now+int64(acks.SchedulingAllowance)+1, &early)
	for _, s := range []struct {
		after  time.Duration
		states bool
	}{{0, false}, {acks.TransitWindow - 1, false}, {acks.TransitWindow, true}} {
		now = int64(time.Hour + s.after)
		var frame wire.Call
		tracker.prepare(&frame, func() {})
		test.Eq(t, s.states, frame.SentUS > 0)
		test.True(t, frame.WantAck)
	}
}
