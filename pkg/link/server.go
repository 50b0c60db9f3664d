package link

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/connections"
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
	defer close(sess.done)
	defer s.removeSession(sess)
	sess.run()
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
