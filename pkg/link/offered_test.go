package link

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

const testBodySize = 200_000

// newGrantingServer returns a server that grants bodies.
func newGrantingServer(t *testing.T, runner call.Runner, bodiesBytes int) *Server {
	s := settings.Default()
	s.Limits.BodiesBytes = bodiesBytes
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := Listen(common.NewCommon(events.Discard(), &s), &nopHandler{up: make(chan *Peer, 100), features: wire.FeatureGrants}, runner, listener, nil, NewHeartbeatTiming(testIdle))
	t.Cleanup(server.Close)
	return server
}

// dialServer opens a link to a server.
func dialServer(t *testing.T, server *Server) *Client {
	handler := &nopHandler{up: make(chan *Peer, 1), features: wire.FeatureGrants}
	client, err := DialClient(context.Background(), testCommon(), handler, server.address, DialOptions{HeartbeatTiming: NewHeartbeatTiming(testIdle)})
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		client.Run()
		close(ended)
	}()
	<-handler.up
	t.Cleanup(func() {
		client.Close()
		<-ended
	})
	return client
}

// waitFor waits until cond returns true.
func waitFor(t must.T, cond func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(cond), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// waitUntilIdle waits until a server holds no bodies and no credit.
func waitUntilIdle(t must.T, server *Server) {
	t.Helper()
	waitFor(t, func() bool {
		load := server.grants.load()
		server.grants.mu.Lock()
		transfers := len(server.grants.transfers)
		server.grants.mu.Unlock()
		return server.Bodies.Reserved() == 0 && load.Outstanding == 0 && load.Waiting == 0 && transfers == 0
	})
}

// TestOfferedBodiesArrive checks that large bodies arrive whole with runners that decide on
// heads and with others, also beside bodies that are sent with their calls.
func TestOfferedBodiesArrive(t *testing.T) {
	for name, runner := range map[string]call.Runner{"an offerer": newPlacesRunner(), "a runner of whole bodies": runnerFunc(echo)} {
		t.Run(name, func(t *testing.T) {
			server := newGrantingServer(t, runner, 100<<20)
			var workers sync.WaitGroup
			for range 4 {
				client := dialServer(t, server)
				for worker := range 8 {
					workers.Go(func() {
						body := bytes.Repeat([]byte{byte(worker)}, worker*40_000+worker)
						result := client.executeAndWait(&wire.Call{URI: "/x", Remaining: time.Minute}, body)
						if test.Nil(t, result.Refusal); result.Answer != nil {
							test.Eq(t, "/x "+string(body), string(result.Answer.Body))
						}
					})
				}
			}
			workers.Wait()
			waitUntilIdle(t, server)
			test.Positive(t, server.grants.granted.Get())
		})
	}
}

// TestRefusedHeadSendsNoBody checks that a refusal costs the head of the call only.
func TestRefusedHeadSendsNoBody(t *testing.T) {
	server := newGrantingServer(t, newPlacesRunner(), 100<<20)
	client := dialServer(t, server)
	sentBefore := client.Traffic().BytesOut
	result := client.executeAndWait(&wire.Call{URI: "/refused", Remaining: time.Minute}, make([]byte, testBodySize))
	must.NotNil(t, result.Refusal)
	test.Eq(t, errkind.Overloaded, result.Refusal.Kind)
	test.Eq(t, errkind.RanNo, result.Refusal.Ran)
	test.Less(t, 300, client.Traffic().BytesOut-sentBefore)
	test.Eq(t, 1, server.grants.refusedHeads.Get())
	waitUntilIdle(t, server)
}

// TestPreviousReleaseGetsWholeBodies checks that a peer that does not announce FeatureGrants
// gets bodies with their calls.
func TestPreviousReleaseGetsWholeBodies(t *testing.T) {
	runner := newPlacesRunner()
	client, server := connect(t, runner)
	result := client.executeAndWait(&wire.Call{URI: "/x", Remaining: time.Minute}, make([]byte, testBodySize))
	test.Nil(t, result.Refusal)
	test.Zero(t, runner.offered)
	test.Zero(t, server.grants.granted.Get())
}

// TestHeadIsRefusedWithoutRoomForItsBody checks that a head is refused as not run when the
// memory budget has no room for its body.
func TestHeadIsRefusedWithoutRoomForItsBody(t *testing.T) {
	server := newGrantingServer(t, newPlacesRunner(), testBodySize/2)
	client := dialServer(t, server)
	result := client.executeAndWait(&wire.Call{URI: "/x", Remaining: time.Minute}, make([]byte, testBodySize))
	must.NotNil(t, result.Refusal)
	test.Eq(t, errkind.Overloaded, result.Refusal.Kind)
	test.Eq(t, errkind.RanNo, result.Refusal.Ran)
}

// TestStalledSenderLosesItsPlaceAndCredit checks that a sender that stalls after a grant does
// not hold up others, and that its place is released when the call's time is used up.
func TestStalledSenderLosesItsPlaceAndCredit(t *testing.T) {
	for name, runner := range map[string]call.Runner{"an offerer": newPlacesRunner(), "a runner of whole bodies": runnerFunc(echo)} {
		t.Run(name, func(t *testing.T) {
			server := newGrantingServer(t, runner, 100<<20)
			silent := dialSilentEntry(t, server)
			silent.send(t, &wire.Call{ID: 1, URI: "/stalled", Remaining: 2 * time.Second, Body: wire.Offer(make([]byte, testBodySize))})
			silent.receive(t, wire.TypeGrant)
			result := dialServer(t, server).executeAndWait(&wire.Call{URI: "/x", Remaining: time.Minute}, make([]byte, testBodySize))
			test.Nil(t, result.Refusal)
			// Nothing of the other sender is on the way, so this is the credit of the silent one.
			waitFor(t, func() bool {
				server.grants.mu.Lock()
				defer server.grants.mu.Unlock()
				return len(server.grants.transfers) == 1 && server.grants.scheduler.Load().Outstanding == 0
			})
			test.Positive(t, server.grants.stalled.Get())
			refusal := silent.receive(t, wire.TypeRefusal).(*wire.Refusal)
			test.Eq(t, errkind.DeadlineBeforeRun, errkind.Parse(refusal.Kind))
			test.Eq(t, errkind.RanNo, errkind.Ran(refusal.Ran))
			waitUntilIdle(t, server)
		})
	}
}

// TestBodyIsDroppedWhenItsCallEnds checks that a cancel and a broken link release the place,
// the memory and the credit of a body on its way.
func TestBodyIsDroppedWhenItsCallEnds(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, e *silentEntry){
		"a cancel":      func(t *testing.T, e *silentEntry) { e.send(t, &wire.Cancel{ID: 1}) },
		"a broken link": func(_ *testing.T, e *silentEntry) { _ = e.Close() },
		"a chunk beyond the grant": func(t *testing.T, e *silentEntry) {
			e.send(t, &wire.Chunk{ID: 1, Data: make([]byte, testBodySize)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			runner := newPlacesRunner()
			server := newGrantingServer(t, runner, 100<<20)
			silent := dialSilentEntry(t, server)
			silent.send(t, &wire.Call{ID: 1, Remaining: time.Minute, Body: wire.Offer(make([]byte, testBodySize))})
			granted := silent.receive(t, wire.TypeGrant).(*wire.Grant)
			silent.send(t, &wire.Chunk{ID: 1, Data: make([]byte, granted.Offset)})
			end(t, silent)
			waitUntilIdle(t, server)
			waitFor(t, func() bool { return runner.placeCount() == 0 })
			test.Len(t, 0, runner.startedCalls())
		})
	}
}

// TestStoppedExecutorReleasesItsPlaces checks that calls whose bodies are on the way end as
// not run when the executor stops.
func TestStoppedExecutorReleasesItsPlaces(t *testing.T) {
	runner := newPlacesRunner()
	server := newGrantingServer(t, runner, 100<<20)
	silent := dialSilentEntry(t, server)
	silent.send(t, &wire.Call{ID: 1, Remaining: time.Minute, Body: wire.Offer(make([]byte, testBodySize))})
	silent.receive(t, wire.TypeGrant)
	runner.drain()
	refusal := silent.receive(t, wire.TypeRefusal).(*wire.Refusal)
	test.Eq(t, errkind.Leaving, errkind.Parse(refusal.Kind))
	test.Eq(t, errkind.RanNo, errkind.Ran(refusal.Ran))
	waitUntilIdle(t, server)
}

// TestBrokenLinkBeforeTheLastByte checks that a call ends as not run when its link breaks
// before the whole body was handed to the writer, and may have run otherwise.
func TestBrokenLinkBeforeTheLastByte(t *testing.T) {
	scenarios := []struct {
		name string
		body *outgoingBody
		// queued is the number of chunks in the queue.
		queued int
		want   errkind.Kind
	}{
		{"no body beyond the call frame", nil, 0, errkind.LinkLost},
		{"nothing granted", &outgoingBody{data: make([]byte, 100)}, 0, errkind.LinkUnavailable},
		{"granted in part", &outgoingBody{data: make([]byte, 100), queued: 99}, 0, errkind.LinkUnavailable},
		{"the last chunk is queued", &outgoingBody{data: make([]byte, 100), queued: 100}, 1, errkind.LinkUnavailable},
		{"all handed over", &outgoingBody{data: make([]byte, 100), queued: 100}, 0, errkind.LinkLost},
		{"chunks of a body sent with its call are queued", &outgoingBody{}, 2, errkind.LinkUnavailable},
		{"a body sent with its call is handed over", &outgoingBody{}, 0, errkind.LinkLost},
	}
	for _, s := range scenarios {
		for _, closed := range []bool{true, false} {
			conn := &Conn{}
			for range s.queued {
				conn.chunks.push(&wire.Chunk{ID: 7})
			}
			if closed {
				conn.chunks.discard()
			}
			var got call.Result
			cl := &Client{Peer: &Peer{Conn: conn}, pending: map[uint64]*pendingCall{7: {body: s.body, done: func(r call.Result) { got = r }}}}
			cl.failAll(nil)
			must.NotNil(t, got.Refusal, must.Sprint(s.name))
			test.Eq(t, s.want, got.Refusal.Kind, test.Sprint(s.name))
			test.Eq(t, s.want == errkind.LinkLost, got.Refusal.Ran == errkind.RanMaybe, test.Sprint(s.name))
		}
	}
}

// TestGrantsEndWithTheirLink checks on two real link ends that a call whose body was granted
// in part ends as not run when the link breaks.
func TestGrantsEndWithTheirLink(t *testing.T) {
	client, executor := dialSilentExecutor(t, wire.FeatureGrants)
	resume := stopWriter(executor)
	done := make(chan call.Result, 1)
	client.Execute(&wire.Call{URI: "/x", Remaining: time.Minute}, make([]byte, testBodySize), func(r call.Result) { done <- r })
	client.Close()
	result := <-done
	resume()
	test.Eq(t, errkind.LinkUnavailable, result.Refusal.Kind)
	test.Eq(t, errkind.RanNo, result.Refusal.Ran)
}

// TestCancelDropsQueuedChunks checks that the chunks of a cancelled call are not sent any
// more, granted or not, that the call ends once, and that those of other calls are sent.
func TestCancelDropsQueuedChunks(t *testing.T) {
	for name, body := range map[string]*outgoingBody{"granted": {data: make([]byte, 100), queued: 50}, "sent with the call": {}} {
		t.Run(name, func(t *testing.T) {
			conn := NewClosedConn()
			conn.chunks.push(&wire.Chunk{ID: 1})
			conn.chunks.push(&wire.Chunk{ID: 2})
			conn.chunks.push(&wire.Chunk{ID: 1})
			var results []call.Result
			cl := &Client{Peer: &Peer{Conn: conn}, pending: map[uint64]*pendingCall{1: {body: body, done: func(r call.Result) { results = append(results, r) }}}}
			cl.cancel(1)
			cl.cancel(1)
			must.Len(t, 1, results)
			test.Eq(t, errkind.CallerGone, results[0].Refusal.Kind)
			test.Eq(t, errkind.RanNo, results[0].Refusal.Ran)
			test.Eq(t, 1, conn.chunks.len())
			test.Eq(t, 2, conn.chunks.pop().ID)
			cl.receiveGrant(&wire.Grant{ID: 1, Offset: 100})
			test.Zero(t, conn.chunks.len())
		})
	}
}

// TestRefusalDropsQueuedChunks checks that the chunks of a refused call are not sent any more.
func TestRefusalDropsQueuedChunks(t *testing.T) {
	conn := NewClosedConn()
	conn.chunks.push(&wire.Chunk{ID: 1})
	cl := &Client{Peer: &Peer{Conn: conn}, pending: map[uint64]*pendingCall{1: {body: &outgoingBody{}, done: ignore}}}
	must.NoError(t, cl.receive(&wire.Refusal{ID: 1}))
	test.Zero(t, conn.chunks.len())
}

// TestEndedCallDoesNotStart checks that a call does not start if it ended while its last chunk
// was being processed.
func TestEndedCallDoesNotStart(t *testing.T) {
	for name, ended := range map[string]func(s *session, in *incomingCall){
		"its deadline has passed":   func(_ *session, in *incomingCall) { in.offer.ended = true },
		"its place was released":    func(s *session, _ *incomingCall) { delete(s.calls, 1) },
		"its id belongs to no call": func(s *session, _ *incomingCall) { s.calls[1] = &incomingCall{} },
	} {
		t.Run(name, func(t *testing.T) {
			runner := newPlacesRunner()
			in := &incomingCall{call: &wire.Call{ID: 1}, offer: &offeredCall{expiry: time.NewTimer(time.Hour)}}
			s := &session{server: &Server{runner: runner}, calls: map[uint64]*incomingCall{1: in}}
			ended(s, in)
			_, started := s.start(in, nil)
			test.False(t, started)
			test.Len(t, 0, runner.startedCalls())
			s.withdraw(in, errkind.New(errkind.CallerGone, ""))
		})
	}
}

// TestCancelAfterTheLastByteIsAnswered checks that a call whose entry has sent its whole body
// gets a result also if its deadline passes while the last chunk and a cancel arrive.
func TestCancelAfterTheLastByteIsAnswered(t *testing.T) {
	for name, s := range map[string]struct {
		arrived        int
		wantUnreported bool
	}{"whole": {10, false}, "in part": {9, true}} {
		t.Run(name, func(t *testing.T) {
			assembly, err := wire.NewAssembly(wire.Offer(make([]byte, 10)), 100)
			must.NoError(t, err)
			must.NoError(t, assembly.Add(&wire.Chunk{Data: make([]byte, s.arrived)}))
			// The expiry has ended the call and has not reported it yet.
			in := &incomingCall{call: &wire.Call{ID: 1}, assembly: assembly, offer: &offeredCall{ended: true}}
			sess := &session{calls: map[uint64]*incomingCall{1: in}}
			sess.receiveCancel(1)
			test.Eq(t, s.wantUnreported, sess.endOffer(in, nil))
		})
	}
}

// TestOffersAreExpectedOnlyWhereBodiesAreGranted checks that a link which will carry no offered
// bodies is not pinged for them when it opens.
func TestOffersAreExpectedOnlyWhereBodiesAreGranted(t *testing.T) {
	for _, s := range []struct {
		name     string
		runner   call.Runner
		above    int
		features wire.Features
		want     bool
	}{
		{"an executor that grants", runnerFunc(echo), 1000, wire.FeatureGrants, true},
		{"no backend server", nil, 1000, wire.FeatureGrants, false},
		{"granted bodies are switched off", runnerFunc(echo), 0, wire.FeatureGrants, false},
		{"a peer of the previous release", runnerFunc(echo), 1000, 0, false},
	} {
		server := &Server{Common: testCommon(), runner: s.runner}
		server.Settings.Links.GrantBodiesAbove = s.above
		sess := &session{server: server, Peer: &Peer{Hello: wire.Hello{Features: s.features}}}
		test.Eq(t, s.want, sess.expectsOffers(), test.Sprint(s.name))
	}
}

// TestStartedCallIsNotWithdrawn checks that a deadline which passes just after a call was passed
// to a runner of whole bodies does not report it as not run.
func TestStartedCallIsNotWithdrawn(t *testing.T) {
	in := &incomingCall{call: &wire.Call{ID: 1}, offer: &offeredCall{started: true}}
	s := &session{calls: map[uint64]*incomingCall{1: in}}
	s.withdraw(in, errkind.New(errkind.DeadlineBeforeRun, ""))
	test.False(t, in.offer.ended)
	test.MapLen(t, 1, s.calls)
}
