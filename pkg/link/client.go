package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/wire"
)

// linkPath is the HTTP path at which daemons accept links.
const linkPath = "/link"

// Dial opens a TCP connection. Tests and benchmarks use their own to simulate delays.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialOptions are the options of DialClient.
type DialOptions struct {
	Dial Dial
	// TLS is nil for plain text.
	TLS *tls.Config
	// HeartbeatTiming is the timing of the heartbeats on the link.
	HeartbeatTiming *HeartbeatTiming
}

// Client is the side of a link that opened it: an entry, which sends calls and receives
// their answers.
type Client struct {
	*Peer
	handler Handler
	// maxBody is the maximum size of an answer's body, in bytes.
	maxBody int
	// grantBodiesAbove is the size in bytes above which the executor decides when a body is
	// sent; 0: never.
	grantBodiesAbove int
	// location is where this daemon runs.
	location proximity.Location

	mu sync.Mutex
	// lastID is the id of the latest call.
	lastID uint64
	// pending holds the calls that have not ended, by id; nil once the link has ended.
	pending    map[uint64]*pendingCall
	lateFrames atomic.Int64
	acks       ackTracker
}

// pendingCall is a call that has not ended.
type pendingCall struct {
	done func(call.Result)
	// body is nil if the body fits in the call frame.
	body *outgoingBody
	// deadline is the result of deadlineOf.
	deadline int64
	// answer is nil until the answer frame has arrived. Then assembly assembles its body.
	answer   *wire.Answer
	assembly *wire.Assembly
}

// DialClient opens a link to the daemon at address and sends the hello frame. The caller
// must call Run.
func DialClient(ctx context.Context, c *common.Common, handler Handler, address string, opts DialOptions) (*Client, error) {
	openedAfter := c.Now()
	dialer := websocket.Dialer{NetDialContext: opts.Dial, TLSClientConfig: opts.TLS, HandshakeTimeout: writeTimeout}
	scheme := "ws://"
	if opts.TLS != nil {
		scheme = "wss://"
	}
	ws, resp, err := dialer.DialContext(ctx, scheme+address+linkPath, http.Header{})
	if err != nil {
		return nil, errors.Wrapf(err, "open a link to %s", address)
	}
	_ = resp.Body.Close()
	codec, err := wire.NewCodec()
	if err != nil {
		return nil, err
	}
	cl := &Client{
		Peer:    &Peer{Conn: newConn(ws, codec, c.Traffic, opts.HeartbeatTiming), Outgoing: true, OpenedAfter: openedAfter},
		handler: handler, location: c.Location(),
		maxBody: c.Settings.Limits.MaxBodyBytes, grantBodiesAbove: c.Settings.Links.GrantBodiesAbove,
		pending: map[uint64]*pendingCall{},
	}
	cl.acks.now = c.Now
	if opener, ok := handler.(Opener); ok {
		opener.Opened(cl)
	}
	if err := cl.Send(handler.Hello()); err != nil {
		return nil, err
	}
	return cl, nil
}

// Opener is implemented by a Handler that needs the Client of its link. Opened is called
// before the first frame is sent or received.
type Opener interface{ Opened(*Client) }

// Run receives frames until the link ends. The first one must be the peer's hello frame.
func (cl *Client) Run() {
	_, err := cl.serve(func() {
		cl.setProximity(cl.location.LevelTo(cl.Hello.DataCentre, cl.Hello.Region))
		cl.ping()
		cl.acks.setFeatures(cl.Hello.Features)
		cl.handler.Up(cl.Peer)
		cl.handler.PeerState(cl.Peer, &cl.Hello.State)
	}, cl.receive)
	cl.failAll(err)
	cl.handler.Down(cl.Peer, err)
}

// Execute implements call.Runner. It sends the call to the executor at the other end.
func (cl *Client) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	return cl.execute(c, body, nil, done)
}

// execute sends a call. acknowledged is nil if the caller does not need an ack.
func (cl *Client) execute(c *wire.Call, body []byte, acknowledged func(), done func(call.Result)) (cancel func()) {
	if !cl.Hello.Features.Has(wire.FeatureAnyText) && !c.HasValidText() {
		done(*linkUnavailable("the release of the peer cannot read a header or path that is not valid UTF-8"))
		return func() {}
	}
	callFrame := *c
	pending := &pendingCall{done: done}
	cl.acks.prepare(&callFrame, acknowledged)
	pending.deadline = deadlineOf(&callFrame)
	var chunks []*wire.Chunk
	callFrame.Body, chunks, pending.body = cl.prepare(body)
	if refusal := cl.sendCall(&callFrame, chunks, acknowledged, pending); refusal != nil {
		done(*refusal)
		return func() {}
	}
	return func() { cl.cancel(callFrame.ID) }
}

// sendCall assigns an id to a call, queues its frames and adds it to the pending calls. The
// peer requires ids in rising order, so that none is used twice. Therefore the id is
// assigned and the frames are queued under one lock. If sendCall returns a refusal, nothing
// of the call was written, so that it certainly did not run.
func (cl *Client) sendCall(callFrame *wire.Call, chunks []*wire.Chunk, acknowledged func(), pending *pendingCall) *call.Result {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.pending == nil {
		return linkUnavailable("the link is closed")
	}
	cl.lastID++
	callFrame.ID = cl.lastID
	frames := make([]wire.Frame, 0, 1+len(chunks))
	frames = append(frames, callFrame)
	for _, chunk := range chunks {
		chunk.ID = callFrame.ID
		frames = append(frames, chunk)
	}
	if callFrame.WantAck {
		cl.acks.add(callFrame.ID, acknowledged)
	}
	if err := cl.Send(frames...); err != nil {
		return linkUnavailable("the link closed before the call was sent")
	}
	cl.pending[callFrame.ID] = pending
	return nil
}

// linkUnavailable returns a refusal of kind LinkUnavailable.
func linkUnavailable(detail string) *call.Result {
	result := call.Refused(errkind.LinkUnavailable, "%s", detail)
	return &result
}

func (cl *Client) receive(frame wire.Frame) error {
	cl.acks.received(frame)
	switch f := frame.(type) {
	case *wire.Ack:
		return nil
	case *wire.Answer:
		return cl.receiveAnswer(f)
	case *wire.Chunk:
		return cl.receiveChunk(f)
	case *wire.Grant:
		cl.receiveGrant(f)
		return nil
	case *wire.Refusal:
		refusal := &errkind.Error{Kind: errkind.Parse(f.Kind), Ran: errkind.Ran(f.Ran), Detail: f.Detail}
		cl.finish(f.ID, call.Result{Refusal: refusal, FromExecutor: true, Stamp: f.Stamp, NextClaim: f.NextClaim, Offered: f.Offered, Origin: f.Origin})
		return nil
	}
	if cl.Peer.handleFrame(cl.handler, frame) {
		return nil
	}
	return &BadFrameError{Cause: errors.Errorf("unexpected frame of type %d from an executor", frame.Type())}
}

func (cl *Client) receiveAnswer(f *wire.Answer) error {
	assembly, err := wire.NewAssembly(f.Body, cl.maxBody)
	if err != nil {
		cl.finish(f.ID, answerCut(err, f.Stamp))
		return nil
	}
	pending := cl.find(f.ID)
	if pending == nil {
		return nil
	}
	if pending.answer != nil {
		return &BadFrameError{Cause: errors.New("a second answer to a call")}
	}
	pending.answer, pending.assembly = f, assembly
	cl.finishIfComplete(f.ID, pending)
	return nil
}

func (cl *Client) receiveChunk(f *wire.Chunk) error {
	pending := cl.find(f.ID)
	if pending == nil {
		return nil
	}
	if pending.assembly == nil {
		return &BadFrameError{Cause: errors.New("a chunk arrived before its answer")}
	}
	if err := pending.assembly.Add(f); err != nil {
		cl.finish(f.ID, answerCut(err, pending.answer.Stamp))
		return nil
	}
	cl.finishIfComplete(f.ID, pending)
	return nil
}

// answerCut returns the result of a call whose answer is incomplete or damaged.
func answerCut(cause error, stamp wire.Stamp) call.Result {
	return call.Result{Refusal: errkind.New(errkind.AnswerCut, "%v", cause), FromExecutor: true, Stamp: stamp}
}

// finishIfComplete ends a call if the whole body of its answer has arrived.
func (cl *Client) finishIfComplete(id uint64, pending *pendingCall) {
	if !pending.assembly.Complete() {
		return
	}
	f := pending.answer
	body, err := pending.assembly.Body()
	if err != nil {
		cl.finish(id, answerCut(err, f.Stamp))
		return
	}
	answer := &call.Answer{Status: f.Status, Headers: f.Headers, Body: body, Queued: f.Queued, Run: f.Run, Slowdown: int(f.Slowdown), CallsFailed: f.CallsFailed}
	cl.finish(id, call.Result{Answer: answer, FromExecutor: true, Offered: true, Stamp: f.Stamp, Origin: f.Origin})
}

// find returns a pending call. If the call has ended, it counts a late frame and returns
// nil.
func (cl *Client) find(id uint64) *pendingCall {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	pending := cl.pending[id]
	if pending == nil {
		cl.lateFrames.Add(1)
	}
	return pending
}

// finish ends a call. If the call has ended before, it counts a late frame.
func (cl *Client) finish(id uint64, result call.Result) {
	cl.mu.Lock()
	pending := cl.pending[id]
	delete(cl.pending, id)
	cl.mu.Unlock()
	if pending == nil {
		cl.lateFrames.Add(1)
		return
	}
	cl.stopBody(id, pending.body)
	cl.acks.checkEnd(pending.deadline, &result)
	pending.done(result)
}

// failAll ends all pending calls when the link has ended with cause. They may have run, except
// those whose body was not handed over and those that the executor has not accepted.
func (cl *Client) failAll(cause error) {
	cl.mu.Lock()
	calls := cl.pending
	cl.pending = nil
	cl.mu.Unlock()
	lastCall, stated := lastCallOf(cause)
	for id, pending := range calls {
		if stated && id > lastCall {
			pending.done(*linkUnavailable("the executor stopped before it accepted the call"))
			continue
		}
		pending.done(cl.resultOfLostLink(id, pending))
	}
}

// LateFrames returns how many frames arrived for calls that had already ended.
func (cl *Client) LateFrames() int64 { return cl.lateFrames.Load() }
