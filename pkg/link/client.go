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

// path is where daemons accept links.
const path = "/link"

// Dial opens a TCP connection; tests and the bench put delays in its way.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialOptions say how a link is opened.
type DialOptions struct {
	Dial Dial
	// TLS is nil for plain text.
	TLS *tls.Config
	// Pace is how often idle links carry a heartbeat.
	Pace *Pace
}

// Client is the entry's side of a link: it sends calls and waits for answers.
type Client struct {
	*Peer
	control Control
	maxBody int
	here    proximity.Location

	mu sync.Mutex
	// lastID is the id of the newest call.
	lastID  uint64
	pending map[uint64]*pending
	late    atomic.Int64
}

// pending is a call that has not ended.
type pending struct {
	done     func(call.Result)
	answer   *wire.Answer
	assembly *wire.Assembly
}

// DialClient opens a link to the daemon at address and greets it.
func DialClient(ctx context.Context, c *common.Common, control Control, address string, opts DialOptions) (*Client, error) {
	dialer := websocket.Dialer{NetDialContext: opts.Dial, TLSClientConfig: opts.TLS, HandshakeTimeout: writeTime}
	scheme := "ws://"
	if opts.TLS != nil {
		scheme = "wss://"
	}
	ws, resp, err := dialer.DialContext(ctx, scheme+address+path, http.Header{})
	if err != nil {
		return nil, errors.Wrapf(err, "link to %s", address)
	}
	_ = resp.Body.Close()
	codec, err := wire.NewCodec()
	if err != nil {
		return nil, err
	}
	cl := &Client{
		Peer:    &Peer{Conn: newConn(ws, codec, c.Traffic, opts.Pace), Outgoing: true},
		control: control, here: c.Location(),
		maxBody: c.Settings.Limits.MaxBodyBytes,
		pending: map[uint64]*pending{},
	}
	if opener, ok := control.(Opener); ok {
		opener.Opened(cl)
	}
	if err := cl.Send(control.Hello()); err != nil {
		return nil, err
	}
	return cl, nil
}

// Opener is a Control that wants to know its client before the first frame.
type Opener interface{ Opened(*Client) }

// Run serves the link until it ends. The first frame must be the greeting.
func (cl *Client) Run() {
	_, err := cl.serve(func() {
		cl.setPlace(cl.here.To(cl.Hello.DataCentre, cl.Hello.Region))
		cl.ping()
		cl.control.Up(cl.Peer)
		cl.control.News(cl.Peer, &cl.Hello.State)
	}, cl.receive)
	cl.failAll()
	cl.control.Down(cl.Peer, err)
}

// Execute implements call.Runner.
func (cl *Client) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	sent := *c
	var chunks []*wire.Chunk
	sent.Body, chunks = wire.Split(body)
	if refusal := cl.begin(&sent, chunks, done); refusal != nil {
		done(*refusal)
		return func() {}
	}
	return func() { _ = cl.Send(&wire.Cancel{ID: sent.ID}) }
}

// begin notes and sends a call. Ids must reach the peer in rising order, which
// proves to it that none is used twice; so the id is drawn and the frame queued
// under one lock. A refusal here is a "no": nothing of the call was written.
func (cl *Client) begin(sent *wire.Call, chunks []*wire.Chunk, done func(call.Result)) *call.Result {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.pending == nil {
		return refused("the link is closed")
	}
	cl.lastID++
	sent.ID = cl.lastID
	frames := make([]wire.Frame, 0, 1+len(chunks))
	frames = append(frames, sent)
	for _, chunk := range chunks {
		chunk.ID = sent.ID
		frames = append(frames, chunk)
	}
	if err := cl.Send(frames...); err != nil {
		return refused("the link closed before the call was sent")
	}
	cl.pending[sent.ID] = &pending{done: done}
	return nil
}

func refused(why string) *call.Result {
	out := call.Refused(errkind.LinkUnavailable, "%s", why)
	return &out
}

func (cl *Client) receive(frame wire.Frame) error {
	switch f := frame.(type) {
	case *wire.Answer:
		return cl.receiveAnswer(f)
	case *wire.Chunk:
		return cl.receiveChunk(f)
	case *wire.Refusal:
		refusal := &errkind.Error{Kind: errkind.Parse(f.Kind), Ran: errkind.Ran(f.Ran), Detail: f.Detail}
		cl.finish(f.ID, call.Result{Refusal: refusal, FromExecutor: true, Stamp: f.Stamp, NextClaim: f.Next, Offered: f.Offered, Origin: f.Origin})
		return nil
	}
	if cl.Peer.control(cl.control, frame) {
		return nil
	}
	return &BadFrameError{Cause: errors.Errorf("frame %d from an executor", frame.Type())}
}

func (cl *Client) receiveAnswer(f *wire.Answer) error {
	assembly, err := wire.NewAssembly(f.Body, cl.maxBody)
	if err != nil {
		cl.finish(f.ID, cut(err, f.Stamp))
		return nil
	}
	waiting := cl.find(f.ID)
	if waiting == nil {
		return nil
	}
	if waiting.answer != nil {
		return &BadFrameError{Cause: errors.New("two answers to one call")}
	}
	waiting.answer, waiting.assembly = f, assembly
	cl.finishIfComplete(f.ID, waiting)
	return nil
}

func (cl *Client) receiveChunk(f *wire.Chunk) error {
	waiting := cl.find(f.ID)
	if waiting == nil {
		return nil
	}
	if waiting.assembly == nil {
		return &BadFrameError{Cause: errors.New("a chunk before its answer")}
	}
	if err := waiting.assembly.Add(f); err != nil {
		cl.finish(f.ID, cut(err, waiting.answer.Stamp))
		return nil
	}
	cl.finishIfComplete(f.ID, waiting)
	return nil
}

func cut(cause error, stamp wire.Stamp) call.Result {
	return call.Result{Refusal: errkind.New(errkind.AnswerCut, "%v", cause), FromExecutor: true, Stamp: stamp}
}

func (cl *Client) finishIfComplete(id uint64, waiting *pending) {
	if !waiting.assembly.Complete() {
		return
	}
	f := waiting.answer
	body, err := waiting.assembly.Body()
	if err != nil {
		cl.finish(id, cut(err, f.Stamp))
		return
	}
	answer := &call.Answer{Status: f.Status, Headers: f.Headers, Body: body, Queued: f.Queued, Run: f.Run, Slowdown: int(f.Slowdown), CallsFailed: f.CallsFailed}
	cl.finish(id, call.Result{Answer: answer, FromExecutor: true, Offered: true, Stamp: f.Stamp, Origin: f.Origin})
}

// find returns a pending call, or counts a late frame.
func (cl *Client) find(id uint64) *pending {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	waiting := cl.pending[id]
	if waiting == nil {
		cl.late.Add(1)
	}
	return waiting
}

func (cl *Client) finish(id uint64, result call.Result) {
	cl.mu.Lock()
	waiting := cl.pending[id]
	delete(cl.pending, id)
	cl.mu.Unlock()
	if waiting == nil {
		cl.late.Add(1)
		return
	}
	waiting.done(result)
}

// failAll ends all calls when the link ends: they may have run.
func (cl *Client) failAll() {
	cl.mu.Lock()
	calls := cl.pending
	cl.pending = nil
	cl.mu.Unlock()
	for _, waiting := range calls {
		waiting.done(call.Refused(errkind.LinkLost, "the link to the executor ended"))
	}
}

// Late counts frames for calls that had ended.
func (cl *Client) Late() int64 { return cl.late.Load() }
