package link

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/connections"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/grants"
	"github.com/rushramp/rushramp/pkg/linkdelay"
	"github.com/rushramp/rushramp/pkg/wire"
)

const readHeaderTimeout = 5 * time.Second

// Server accepts links from other daemons.
type Server struct {
	*common.Common
	handler Handler
	// runner is nil on a daemon that is only an entry.
	runner call.Runner
	grants *granter
	// delays holds the delays of the calls on accepted links.
	delays   *linkdelay.Delays[grants.Sender]
	timing   *HeartbeatTiming
	upgrader websocket.Upgrader
	http     *http.Server
	address  string

	mu sync.Mutex
	// sessions holds all accepted links, and peers those whose hello frame has arrived.
	sessions map[*session]struct{}
	peers    map[*Peer]struct{}
	// stopped is true once no further links are accepted.
	stopped bool
}

// Listen returns a server that accepts links on listener until Close is called. runner runs
// the calls of peers and is nil on a daemon that is only an entry. tlsConfig is nil for plain
// text.
func Listen(c *common.Common, handler Handler, runner call.Runner, listener net.Listener, tlsConfig *tls.Config, timing *HeartbeatTiming) *Server {
	s := &Server{Common: c, handler: handler, runner: runner, timing: timing, sessions: map[*session]struct{}{}, peers: map[*Peer]struct{}{}, address: listener.Addr().String(), grants: newGranter(c), delays: linkdelay.NewDelays[grants.Sender]()}
	s.registerLinkMetrics()
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, s.accept)
	unopened := &handshakes{table: connections.NewTable("links", connections.LimitsOfHandshakes(c.Settings.Limits.MemoryBytes), c.Metrics)}
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHandshakeBytes,
		ConnState: unopened.onConnState, TLSConfig: tlsConfig,
	}
	go func() {
		if tlsConfig != nil {
			_ = s.http.ServeTLS(listener, "", "")
			return
		}
		_ = s.http.Serve(listener)
	}()
	return s
}

// Close closes the listener and all accepted links. Queued frames are dropped.
func (s *Server) Close() {
	for _, sess := range s.stop() {
		sess.Close()
	}
}

// Shutdown closes the listener and ends all accepted links without dropping the results of
// calls that have ended. It refuses calls whose bodies are on the way. When ctx ends, it closes
// the links that are left.
func (s *Server) Shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, sess := range s.stop() {
		wg.Go(func() { sess.shutdown(ctx) })
	}
	wg.Wait()
}

// stop closes the listener and returns the accepted links.
func (s *Server) stop() []*session {
	s.mu.Lock()
	s.stopped = true
	out := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	_ = s.http.Close()
	s.grants.close()
	return out
}

// UnsentResults returns the number of calls that have ended and whose results are not written
// to their links yet.
func (s *Server) UnsentResults() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := 0
	for sess := range s.sessions {
		out += sess.unsent().results
	}
	return int64(out)
}

// Peers returns the daemons that have opened a link to this one, in no particular order.
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
		http.Error(w, "this daemon has reached the limit of links (limits.links)", http.StatusServiceUnavailable)
		return
	}
	// A client sends its hello frame only after the answer to its upgrade.
	openedAfter := s.Now()
	ws, err := s.upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	codec, err := wire.NewCodec()
	if err != nil {
		_ = ws.Close()
		return
	}
	sess := &session{
		server: s,
		Peer:   &Peer{Conn: newConn(ws, codec, s.Traffic, s.timing), OpenedAfter: openedAfter},
		sender: s.grants.newSender(),
		calls:  map[uint64]*incomingCall{},
		done:   make(chan struct{}),
	}
	sess.acks.send = sess.Send
	if !s.addSession(sess) {
		sess.Close()
		return
	}
	sess.run()
	s.removeSession(sess)
	close(sess.done)
}

// addSession adds an accepted link. It returns false once the server has stopped.
func (s *Server) addSession(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.sessions[sess] = struct{}{}
	return true
}

func (s *Server) removeSession(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

// session is one accepted link.
type session struct {
	*Peer
	server *Server
	// sender identifies the link to the scheduler of grants.
	sender grants.Sender

	mu    sync.Mutex
	calls map[uint64]*incomingCall
	// lastID is the highest id of a call so far. Ids of one link are never reused. lastAccepted
	// is the highest of a call in calls so far.
	lastID       uint64
	lastAccepted uint64
	// stopped is true once no further calls are accepted.
	stopped bool
	stamps  stampFilter
	acks    ackSender
	// transit is used only by the goroutine that reads messages.
	transit acks.Transit
	// done is closed when run has returned.
	done chan struct{}
}

// incomingCall is a call of the peer that has not ended.
type incomingCall struct {
	call     *wire.Call
	assembly *wire.Assembly
	// reservation is the reserved memory of the body.
	reservation *bodies.Reservation
	// offer is nil if the body is not sent as it is granted.
	offer *offeredCall
	// started is true once a call without offer is passed to the runner. cancel is nil until
	// the runner has returned it.
	started bool
	cancel  func()
	// cancelled is true once the peer has cancelled the call or the link has ended.
	cancelled bool
}

// run serves the link until it ends.
func (s *session) run() {
	if err := s.Send(s.server.handler.Hello()); err != nil {
		return
	}
	helloReceived, err := s.serve(s.register, s.receive)
	s.logDropped(err)
	s.cancelAll()
	s.server.grants.removeSender(s.sender)
	s.server.delays.Remove(s.sender)
	var badFrame *BadFrameError
	if errors.As(err, &badFrame) {
		s.server.Log.Event(events.LinkBadFrame, events.F("peer", s.Hello.VM), events.F("cause", err))
	}
	if helloReceived {
		s.unregister(err)
	}
}

// register adds the link to those of the server once the hello frame has arrived.
func (s *session) register() {
	s.transit.ObserveUptime(s.server.Now(), s.Hello.UptimeMS)
	s.setProximity(s.server.Location().LevelTo(s.Hello.DataCentre, s.Hello.Region))
	s.server.mu.Lock()
	s.server.peers[s.Peer] = struct{}{}
	s.server.mu.Unlock()
	if s.expectsOffers() {
		go s.ping()
	}
	s.server.handler.Up(s.Peer)
	s.server.handler.PeerState(s.Peer, &s.Hello.State)
}

// unregister removes the link from those of the server once it has ended.
func (s *session) unregister(cause error) {
	s.server.mu.Lock()
	delete(s.server.peers, s.Peer)
	s.server.mu.Unlock()
	s.server.handler.Down(s.Peer, cause)
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
	if s.Peer.handleFrame(s.server.handler, frame) {
		return nil
	}
	return &BadFrameError{Cause: errors.Errorf("unexpected frame of type %d from an entry", frame.Type())}
}

func (s *session) receiveCall(f *wire.Call) error {
	if f.ID <= s.lastID {
		return &BadFrameError{Cause: errors.Errorf("the call id %d is not higher than that of an earlier call", f.ID)}
	}
	s.lastID = f.ID
	s.acks.received(f)
	if s.dropUnneeded(f) {
		return nil
	}
	assembly, err := wire.NewAssembly(f.Body, s.server.Settings.Limits.MaxBodyBytes)
	if err != nil {
		s.sendRefusal(f.ID, call.Refused(errkind.BodyTooLarge, "%v", err))
		return nil
	}
	in := &incomingCall{call: f, assembly: assembly, reservation: s.server.Bodies.NewReservation()}
	if !in.reservation.Grow(int64(f.Body.Size)) {
		s.sendRefusal(f.ID, call.Refused(errkind.Overloaded, "the executor cannot accept a body of %d bytes: it holds bodies of %d bytes, and limits.bodies_bytes is %d", f.Body.Size, s.server.Bodies.Reserved(), s.server.Bodies.Limit()))
		return nil
	}
	if !s.addCall(in) {
		in.reservation.Release()
		return nil
	}
	if f.Body.Offered() {
		s.receiveOffer(in)
		return nil
	}
	s.startIfComplete(in)
	return nil
}

func (s *session) receiveChunk(f *wire.Chunk) error {
	s.mu.Lock()
	in := s.calls[f.ID]
	s.mu.Unlock()
	if in == nil || in.cancelled {
		return nil
	}
	if err := in.assembly.Add(f); err != nil {
		s.refuseBody(in, err)
		return nil
	}
	if err := s.recordArrival(in, f); err != nil {
		return err
	}
	s.startIfComplete(in)
	return nil
}

// startIfComplete runs a call if its whole body has arrived.
func (s *session) startIfComplete(in *incomingCall) {
	if !in.assembly.Complete() {
		return
	}
	id := in.call.ID
	body, err := in.assembly.Body()
	if err != nil {
		s.refuseBody(in, err)
		return
	}
	if s.server.runner == nil {
		s.remove(id)
		s.sendRefusal(id, noBackendServer())
		return
	}
	cancel, started := s.start(in, body)
	if !started {
		return
	}
	s.mu.Lock()
	in.cancel = cancel
	cancelled := in.cancelled
	s.mu.Unlock()
	if cancelled {
		cancel()
	}
}

func (s *session) receiveCancel(id uint64) {
	s.mu.Lock()
	in := s.calls[id]
	var cancel func()
	if in != nil {
		in.cancelled = true
		cancel = in.cancel
	}
	offered := in != nil && in.offer != nil && cancel == nil
	notStarted := in != nil && cancel == nil && !offered
	if notStarted {
		// The call was not started because its body is incomplete. It cannot start
		// meanwhile, since calls are started by this same goroutine.
		delete(s.calls, id)
		in.reservation.Release()
	}
	s.mu.Unlock()
	if offered {
		s.cancelOffer(in)
	}
	if notStarted {
		s.drop(id, droppedCancelled, call.Refused(errkind.CallerGone, "the entry cancelled the call before its whole body had arrived"))
	}
	if cancel != nil {
		cancel()
	}
}

// remove removes a call that has ended and releases the memory of its body.
func (s *session) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in := s.calls[id]; in != nil {
		in.reservation.Release()
	}
	delete(s.calls, id)
}

// sendAnswer sends the result of a call: an answer with its chunks, or a refusal.
func (s *session) sendAnswer(id uint64, result call.Result) {
	if result.Refusal != nil {
		s.sendRefusal(id, result)
		return
	}
	a := result.Answer
	body, chunks := wire.Split(a.Body)
	frames := make([]wire.Frame, 0, 1+len(chunks))
	frame := &wire.Answer{
		ID: id, Status: a.Status, Headers: a.Headers,
		Queued: a.Queued, Run: a.Run, Stamp: result.Stamp, Body: body, Origin: result.Origin, Slowdown: uint32(a.Slowdown), CallsFailed: a.CallsFailed,
	}
	if !s.Hello.Features.Has(wire.FeatureAnyText) {
		frame.DropInvalidText()
	}
	frames = append(frames, frame)
	for _, chunk := range chunks {
		chunk.ID = id
		frames = append(frames, chunk)
	}
	// If the link is closed, the entry has already ended the call with LinkLost.
	_ = s.Send(frames...)
}

func (s *session) sendRefusal(id uint64, result call.Result) {
	_ = s.Send(&wire.Refusal{
		ID: id, Kind: uint8(result.Refusal.Kind), Ran: uint8(result.Refusal.Ran),
		Detail: strings.ToValidUTF8(result.Refusal.Detail, "\uFFFD"), Stamp: result.Stamp, NextClaim: result.NextClaim, Offered: result.Offered, Origin: result.Origin,
	})
}

// cancelAll cancels the calls of a link that has ended, and releases the memory of bodies
// that have not arrived completely.
func (s *session) cancelAll() {
	s.acks.stop()
	s.mu.Lock()
	var cancels []func()
	for _, in := range s.calls {
		in.cancelled = true
		if in.cancel != nil {
			cancels = append(cancels, in.cancel)
			continue
		}
		if in.offer != nil {
			cancels = append(cancels, func() { s.cancelOffer(in) })
			continue
		}
		// The call was not started, so no other code releases its body.
		in.reservation.Release()
	}
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}
