package link

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// pausedReader is a connection whose reads wait while it is paused, as in a process that gets no
// processor time.
type pausedReader struct {
	net.Conn
	mu     sync.Mutex
	paused bool
	closed bool
	resume *sync.Cond
}

func newPausedReader(conn net.Conn) *pausedReader {
	out := &pausedReader{Conn: conn}
	out.resume = sync.NewCond(&out.mu)
	return out
}

func (p *pausedReader) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
	p.resume.Broadcast()
}

func (p *pausedReader) Read(b []byte) (int, error) {
	p.wait()
	n, err := p.Conn.Read(b)
	// The read may have begun before the pause.
	p.wait()
	return n, err
}

// wait returns once the reads are not paused.
func (p *pausedReader) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused && !p.closed {
		p.resume.Wait()
	}
}

func (p *pausedReader) Close() error {
	p.mu.Lock()
	p.closed = true
	p.resume.Broadcast()
	p.mu.Unlock()
	return p.Conn.Close()
}

// slowEntry is an entry with a link to server whose reads can be paused.
type slowEntry struct {
	client *Client
	server *Server
	conn   *pausedReader
	// peer is the entry as server sees it.
	peer *Peer
	// answer passes an answer to the call that executeHeld has sent.
	answer chan *call.Answer
	log    *lockedLog
}

// lockedLog is a log writer whose text can be read while lines are written.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// connectSlow opens a link whose server answers each call with what answer passes.
func connectSlow(t *testing.T) *slowEntry {
	out := &slowEntry{answer: make(chan *call.Answer), log: &lockedLog{}}
	runner := runnerFunc(func(_ *wire.Call, _ []byte, done func(call.Result)) func() {
		go func() {
			if answer := <-out.answer; answer != nil {
				done(call.Result{Answer: answer})
			}
		}()
		return func() {}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := settings.Default()
	accepts := &nopHandler{up: make(chan *Peer, 1)}
	out.server = Listen(common.NewCommon(events.NewLog(out.log, events.Info), &s), accepts, runner, listener, nil, NewHeartbeatTiming(testIdle))
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		out.conn = newPausedReader(conn)
		return out.conn, err
	}
	dials := &nopHandler{up: make(chan *Peer, 1)}
	out.client, err = DialClient(t.Context(), testCommon(), dials, listener.Addr().String(), DialOptions{Dial: dial, HeartbeatTiming: NewHeartbeatTiming(testIdle)})
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		out.client.Run()
		close(ended)
	}()
	<-dials.up
	out.peer = <-accepts.up
	t.Cleanup(func() {
		close(out.answer)
		out.client.Close()
		out.server.Close()
		<-ended
	})
	return out
}

// largeAnswer has more bytes than the kernel buffers for a connection.
func largeAnswer() *call.Answer { return &call.Answer{Status: 200, Body: make([]byte, 7<<20)} }

// executeHeld pauses the entry after it has sent a call, and has the call answered. The answer
// is queued when executeHeld returns.
func (e *slowEntry) executeHeld(t *testing.T, answer *call.Answer) (result chan call.Result) {
	result = e.execute()
	e.conn.setPaused(true)
	e.answer <- answer
	for e.peer.unsent().results == 0 {
		time.Sleep(time.Millisecond)
	}
	return result
}

// TestDroppedResultsAreLogged: nothing in the log of an executor told that answers had not
// reached their entry.
func TestDroppedResultsAreLogged(t *testing.T) {
	e := connectSlow(t)
	result := e.executeHeld(t, largeAnswer())
	e.client.Close()
	test.NotNil(t, (<-result).Refusal)
	for !strings.Contains(e.log.String(), "event=209") {
		time.Sleep(time.Millisecond)
	}
	test.StrContains(t, e.log.String(), "peer=test results=1")
}

// shutdown begins to shut the server down. The returned function waits for its end.
func (e *slowEntry) shutdown(ctx context.Context) (wait func()) {
	done := make(chan struct{})
	go func() {
		e.server.Shutdown(ctx)
		close(done)
	}()
	return func() { <-done }
}

// TestShutdownDeliversQueuedResults: answers that were queued when an executor stopped were
// dropped, and the calls, which had run, ended with LinkLost.
func TestShutdownDeliversQueuedResults(t *testing.T) {
	e := connectSlow(t)
	result := e.executeHeld(t, largeAnswer())
	test.Eq(t, 1, e.server.UnsentResults())
	wait := e.shutdown(t.Context())
	e.conn.setPaused(false)
	got := <-result
	must.NotNil(t, got.Answer, must.Sprint(got.Refusal))
	test.Eq(t, len(largeAnswer().Body), len(got.Answer.Body))
	wait()
	test.Eq(t, 0, e.server.UnsentResults())
	test.Eq(t, "", e.log.String())
}

// TestShutdownEndsWithItsContext: a peer that reads nothing must not hold up the stop.
func TestShutdownEndsWithItsContext(t *testing.T) {
	e := connectSlow(t)
	result := e.executeHeld(t, largeAnswer())
	ctx, cancel := context.WithCancel(t.Context())
	wait := e.shutdown(ctx)
	cancel()
	wait()
	test.StrContains(t, e.log.String(), "event=209")
	e.conn.setPaused(false)
	got := <-result
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
}

// TestShutdownRefusesCallsWhoseBodiesAreOnTheWay: such calls ended with LinkLost, as if they might
// have run.
func TestShutdownRefusesCallsWhoseBodiesAreOnTheWay(t *testing.T) {
	e := connectSlow(t)
	body, chunks := wire.Split(make([]byte, 3*wire.ChunkSize))
	result := make(chan call.Result, 1)
	pending := &pendingCall{done: func(r call.Result) { result <- r }, body: &outgoingBody{}}
	must.Nil(t, e.client.sendCall(&wire.Call{Body: body, Remaining: time.Minute}, chunks[:1], nil, pending))
	for e.server.Bodies.Reserved() == 0 {
		time.Sleep(time.Millisecond)
	}
	e.shutdown(t.Context())()
	got := <-result
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.Leaving, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Eq(t, 0, e.server.Bodies.Reserved())
}

// TestCallsThatCrossAShutdownHaveNotRun: a call that was sent while its executor ended the link
// counted as one that might have run, so that a call that must not be repeated failed.
func TestCallsThatCrossAShutdownHaveNotRun(t *testing.T) {
	e := connectSlow(t)
	running := e.execute()
	for e.server.running() == 0 {
		time.Sleep(time.Millisecond)
	}
	e.conn.setPaused(true)
	wait := e.shutdown(t.Context())
	for e.peer.Send() == nil {
		time.Sleep(time.Millisecond)
	}
	crossing := e.execute()
	e.conn.setPaused(false)
	wait()
	got := <-crossing
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.LinkUnavailable, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	got = <-running
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.LinkLost, got.Refusal.Kind)
	test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
}

// execute sends a call.
func (e *slowEntry) execute() (result chan call.Result) {
	result = make(chan call.Result, 1)
	e.client.Execute(&wire.Call{Remaining: time.Minute}, nil, func(r call.Result) { result <- r })
	return result
}

// running returns the number of calls that have not ended.
func (s *Server) running() (out int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.mu.Lock()
		out += len(sess.calls)
		sess.mu.Unlock()
	}
	return out
}
