package link

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/bodies"
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
	runner   call.Runner
	pace     *Pace
	upgrader websocket.Upgrader
	http     *http.Server
	address  string

	mu    sync.Mutex
	peers map[*Peer]struct{}
}

// Listen accepts links on listener until Close.
func Listen(c *common.Common, control Control, runner call.Runner, listener net.Listener, conf *tls.Config, pace *Pace) *Server {
	s := &Server{Common: c, control: control, runner: runner, pace: pace, peers: map[*Peer]struct{}{}, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc(path, s.accept)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headTime, TLSConfig: conf}
	go func() {
		if conf != nil {
			_ = s.http.ServeTLS(listener, "", "")
			return
		}
		_ = s.http.Serve(listener)
	}()
	return s
}

// Close closes the listener and all accepted links.
func (s *Server) Close() {
	_ = s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for peer := range s.peers {
		peer.Close()
	}
}

// Peers returns the daemons that opened a link to this one.
func (s *Server) Peers() []*Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Peer, 0, len(s.peers))
	for peer := range s.peers {
		out = append(out, peer)
	}
	return out
}

func (s *Server) accept(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	full := len(s.peers) >= s.Settings.Limits.Links
	s.mu.Unlock()
	if full {
		http.Error(w, "this daemon has as many links as limits.links allows", http.StatusServiceUnavailable)
		return
	}
	ws, err := s.upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	codec, err := wire.NewCodec()
	if err != nil {
		_ = ws.Close()
		return
	}
	session := &session{
		server: s,
		Peer:   &Peer{Conn: newConn(ws, codec, s.Traffic, s.pace)},
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
	// held is the room of its body.
	held   *bodies.Reservation
	cancel func()
	gone   bool
}

func (s *session) run() {
	if err := s.Send(s.server.control.Hello()); err != nil {
		return
	}
	greeted, err := s.serve(s.up, s.receive)
	s.cancelAll()
	var bad *BadFrameError
	if errors.As(err, &bad) {
		s.server.Log.Event(events.LinkBadFrame, events.F("peer", s.Hello.VM), events.F("cause", err))
	}
	if greeted {
		s.down(err)
	}
}

func (s *session) up() {
	s.setPlace(s.server.Location().To(s.Hello.DataCentre, s.Hello.Region))
	s.server.mu.Lock()
	s.server.peers[s.Peer] = struct{}{}
	s.server.mu.Unlock()
	s.server.control.Up(s.Peer)
	s.server.control.News(s.Peer, &s.Hello.State)
}

func (s *session) down(cause error) {
	s.server.mu.Lock()
	delete(s.server.peers, s.Peer)
	s.server.mu.Unlock()
	s.server.control.Down(s.Peer, cause)
}

func (s *session) receive(frame wire.Frame) error {
	switch f := frame.(type) {
	case *wire.Call:
		return s.receiveCall(f)
	case *wire.Chunk:
		return s.receiveChunk(f)
	case *wire.Cancel:
		s.receiveCancel(f.ID)
		return nil
	}
	if s.Peer.control(s.server.control, frame) {
		return nil
	}
	return &BadFrameError{Cause: errors.Errorf("frame %d from an entry", frame.Type())}
}

func (s *session) receiveCall(f *wire.Call) error {
	if f.ID <= s.lastID {
		return &BadFrameError{Cause: errors.Errorf("call id %d was used before", f.ID)}
	}
	s.lastID = f.ID
	assembly, err := wire.NewAssembly(f.Body, s.server.Settings.Limits.MaxBodyBytes)
	if err != nil {
		s.refuse(f.ID, call.Refused(errkind.BodyTooLarge, "%v", err))
		return nil
	}
	in := &incoming{call: f, assembly: assembly, held: s.server.Bodies.NewReservation()}
	if !in.held.Grow(int64(f.Body.Size)) {
		s.refuse(f.ID, call.Refused(errkind.Overloaded, "the executor has no room for a body of %d bytes: it holds %d of the %d in limits.bodies_bytes", f.Body.Size, s.server.Bodies.Reserved(), s.server.Bodies.Limit()))
		return nil
	}
	s.mu.Lock()
	s.calls[f.ID] = in
	s.mu.Unlock()
	s.startIfComplete(in)
	return nil
}

func (s *session) receiveChunk(f *wire.Chunk) error {
	s.mu.Lock()
	in := s.calls[f.ID]
	s.mu.Unlock()
	if in == nil || in.gone {
		return nil
	}
	if err := in.assembly.Add(f); err != nil {
		s.drop(f.ID)
		s.refuse(f.ID, call.Refused(errkind.BodyCut, "%v", err))
		return nil
	}
	s.startIfComplete(in)
	return nil
}

func (s *session) startIfComplete(in *incoming) {
	if !in.assembly.Complete() {
		return
	}
	id := in.call.ID
	body, err := in.assembly.Body()
	if err != nil {
		s.drop(id)
		s.refuse(id, call.Refused(errkind.BodyCut, "%v", err))
		return
	}
	if s.server.runner == nil {
		s.drop(id)
		s.refuse(id, call.Refused(errkind.NoBackendServer, "this daemon guards no backend server"))
		return
	}
	cancel := s.server.runner.Execute(in.call, body, func(result call.Result) {
		s.drop(id)
		result.Stamp = s.stamps.pay(s.server.Common, in.call.WantStamp, result.Stamp)
		s.answer(id, result)
	})
	s.mu.Lock()
	in.cancel = cancel
	gone := in.gone
	s.mu.Unlock()
	if gone {
		cancel()
	}
}

func (s *session) receiveCancel(id uint64) {
	s.mu.Lock()
	in := s.calls[id]
	var cancel func()
	if in != nil {
		in.gone = true
		cancel = in.cancel
	}
	if in != nil && cancel == nil {
		// The body is not complete: calls are started by this same goroutine.
		delete(s.calls, id)
		in.held.Release()
	}
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (s *session) drop(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in := s.calls[id]; in != nil {
		in.held.Release()
	}
	delete(s.calls, id)
}

func (s *session) answer(id uint64, result call.Result) {
	if result.Refusal != nil {
		s.refuse(id, result)
		return
	}
	a := result.Answer
	body, chunks := wire.Split(a.Body)
	frames := make([]wire.Frame, 0, 1+len(chunks))
	frames = append(frames, &wire.Answer{
		ID: id, Status: a.Status, Headers: a.Headers,
		Queued: a.Queued, Run: a.Run, Stamp: result.Stamp, Body: body, Origin: result.Origin, Slowdown: uint32(a.Slowdown), CallsFailed: a.CallsFailed,
	})
	for _, chunk := range chunks {
		chunk.ID = id
		frames = append(frames, chunk)
	}
	// A link that closed has told the entry already that the call is a "maybe".
	_ = s.Send(frames...)
}

func (s *session) refuse(id uint64, result call.Result) {
	_ = s.Send(&wire.Refusal{
		ID: id, Kind: uint8(result.Refusal.Kind), Ran: uint8(result.Refusal.Ran),
		Detail: result.Refusal.Detail, Stamp: result.Stamp, Next: result.NextClaim, Offered: result.Offered, Origin: result.Origin,
	})
}

// cancelAll frees what calls of a broken link hold.
func (s *session) cancelAll() {
	s.mu.Lock()
	var cancels []func()
	for _, in := range s.calls {
		in.gone = true
		if in.cancel != nil {
			cancels = append(cancels, in.cancel)
			continue
		}
		// Its body never became whole, so that it never starts or ends.
		in.held.Release()
	}
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}
