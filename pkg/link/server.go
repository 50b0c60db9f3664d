package link

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/wire"
)

const headTime = 5 * time.Second

// Server accepts links.
type Server struct {
	*common.Common
	control Control
	// runner is nil on a daemon that is an entry only.
	runner    call.Runner
	heartbeat time.Duration
	upgrader  websocket.Upgrader
	http      *http.Server
	address   string

	mu    sync.Mutex
	peers map[*Peer]struct{}
}

// Listen accepts links on listener until Close.
func Listen(c *common.Common, control Control, runner call.Runner, listener net.Listener, conf *tls.Config, heartbeat time.Duration) *Server {
	self := &Server{Common: c, control: control, runner: runner, heartbeat: heartbeat, peers: map[*Peer]struct{}{}, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc(path, self.accept)
	self.http = &http.Server{Handler: mux, ReadHeaderTimeout: headTime, TLSConfig: conf}
	go func() {
		if conf != nil {
			_ = self.http.ServeTLS(listener, "", "")
			return
		}
		_ = self.http.Serve(listener)
	}()
	return self
}

// Close closes the listener and all accepted links.
func (self *Server) Close() {
	_ = self.http.Close()
	self.mu.Lock()
	defer self.mu.Unlock()
	for peer := range self.peers {
		peer.Close()
	}
}

// Peers returns the daemons that opened a link to this one.
func (self *Server) Peers() []*Peer {
	self.mu.Lock()
	defer self.mu.Unlock()
	out := make([]*Peer, 0, len(self.peers))
	for peer := range self.peers {
		out = append(out, peer)
	}
	return out
}

func (self *Server) accept(w http.ResponseWriter, r *http.Request) {
	self.mu.Lock()
	full := len(self.peers) >= self.Settings.Limits.Links
	self.mu.Unlock()
	if full {
		http.Error(w, "this daemon has as many links as limits.links allows", http.StatusServiceUnavailable)
		return
	}
	ws, err := self.upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	codec, err := wire.NewCodec()
	if err != nil {
		_ = ws.Close()
		return
	}
	session := &session{
		server: self,
		Peer:   &Peer{Conn: newConn(ws, codec, self.heartbeat)},
		calls:  map[uint64]*incoming{},
	}
	session.run()
}

// session is one accepted link.
type session struct {
	*Peer
	server *Server

	mu    sync.Mutex
	calls map[uint64]*incoming
	// lastID is the highest id seen: ids of one link are never reused.
	lastID uint64
	stamps stampFilter
}

// incoming is a call that has not ended.
type incoming struct {
	call     *wire.Call
	assembly *wire.Assembly
	cancel   func()
	gone     bool
}

func (self *session) run() {
	if err := self.Send(self.server.control.Hello()); err != nil {
		return
	}
	greeted, err := self.serve(self.up, self.receive)
	self.cancelAll()
	var bad *BadFrameError
	if errors.As(err, &bad) {
		self.server.Log.Event(events.LinkBadFrame, events.F("peer", self.Hello.VM), events.F("cause", err))
	}
	if greeted {
		self.down(err)
	}
}

func (self *session) up() {
	self.server.mu.Lock()
	self.server.peers[self.Peer] = struct{}{}
	self.server.mu.Unlock()
	self.server.control.Up(self.Peer)
	self.server.control.News(self.Peer, &self.Hello.State)
}

func (self *session) down(cause error) {
	self.server.mu.Lock()
	delete(self.server.peers, self.Peer)
	self.server.mu.Unlock()
	self.server.control.Down(self.Peer, cause)
}

func (self *session) receive(frame wire.Frame) error {
	switch f := frame.(type) {
	case *wire.Call:
		return self.receiveCall(f)
	case *wire.Chunk:
		return self.receiveChunk(f)
	case *wire.Cancel:
		self.receiveCancel(f.ID)
		return nil
	}
	if self.Peer.control(self.server.control, frame) {
		return nil
	}
	return &BadFrameError{Cause: errors.Errorf("frame %d from an entry", frame.Type())}
}

func (self *session) receiveCall(f *wire.Call) error {
	if f.ID <= self.lastID {
		return &BadFrameError{Cause: errors.Errorf("call id %d was used before", f.ID)}
	}
	self.lastID = f.ID
	assembly, err := wire.NewAssembly(f.Body, self.server.Settings.Limits.MaxBodyBytes)
	if err != nil {
		self.refuse(f.ID, call.Refused(errkind.BodyTooLarge, "%v", err))
		return nil
	}
	in := &incoming{call: f, assembly: assembly}
	self.mu.Lock()
	self.calls[f.ID] = in
	self.mu.Unlock()
	self.startIfComplete(in)
	return nil
}

func (self *session) receiveChunk(f *wire.Chunk) error {
	self.mu.Lock()
	in := self.calls[f.ID]
	self.mu.Unlock()
	if in == nil || in.gone {
		return nil
	}
	if err := in.assembly.Add(f); err != nil {
		self.drop(f.ID)
		self.refuse(f.ID, call.Refused(errkind.BodyCut, "%v", err))
		return nil
	}
	self.startIfComplete(in)
	return nil
}

func (self *session) startIfComplete(in *incoming) {
	if !in.assembly.Complete() {
		return
	}
	id := in.call.ID
	body, err := in.assembly.Body()
	if err != nil {
		self.drop(id)
		self.refuse(id, call.Refused(errkind.BodyCut, "%v", err))
		return
	}
	if self.server.runner == nil {
		self.drop(id)
		self.refuse(id, call.Refused(errkind.NoBackendServer, "this daemon guards no backend server"))
		return
	}
	cancel := self.server.runner.Execute(in.call, body, func(result call.Result) {
		self.drop(id)
		result.Stamp = self.stamps.pay(self.server.Common, in.call.WantStamp, result.Stamp)
		self.answer(id, result)
	})
	self.mu.Lock()
	in.cancel = cancel
	gone := in.gone
	self.mu.Unlock()
	if gone {
		cancel()
	}
}

func (self *session) receiveCancel(id uint64) {
	self.mu.Lock()
	in := self.calls[id]
	var cancel func()
	if in != nil {
		in.gone = true
		cancel = in.cancel
	}
	if in != nil && cancel == nil {
		// The body is not complete: calls are started by this same goroutine.
		delete(self.calls, id)
	}
	self.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (self *session) drop(id uint64) {
	self.mu.Lock()
	defer self.mu.Unlock()
	delete(self.calls, id)
}

func (self *session) answer(id uint64, result call.Result) {
	if result.Refusal != nil {
		self.refuse(id, result)
		return
	}
	a := result.Answer
	body, chunks := wire.Split(a.Body)
	frames := make([]wire.Frame, 0, 1+len(chunks))
	frames = append(frames, &wire.Answer{
		ID: id, Status: a.Status, Headers: a.Headers,
		Queued: a.Queued, Run: a.Run, Stamp: result.Stamp, Body: body,
	})
	for _, chunk := range chunks {
		chunk.ID = id
		frames = append(frames, chunk)
	}
	// A link that closed has told the entry already that the call is a "maybe".
	_ = self.Send(frames...)
}

func (self *session) refuse(id uint64, result call.Result) {
	_ = self.Send(&wire.Refusal{
		ID: id, Kind: uint8(result.Refusal.Kind), Ran: uint8(result.Refusal.Ran),
		Detail: result.Refusal.Detail, Stamp: result.Stamp, Next: result.Next,
	})
}

// cancelAll frees what calls of a broken link hold.
func (self *session) cancelAll() {
	self.mu.Lock()
	var cancels []func()
	for _, in := range self.calls {
		in.gone = true
		if in.cancel != nil {
			cancels = append(cancels, in.cancel)
		}
	}
	self.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}
