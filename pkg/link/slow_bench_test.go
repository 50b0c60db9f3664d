package link

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/wire"
)

// rateLimitedNetwork forwards connections to a server. It limits the bandwidth towards the
// server and has small buffers, like a fully used link of that bandwidth.
type rateLimitedNetwork struct {
	serverAddress  string
	bytesPerSecond int
	// shared is true if all connections share the bandwidth.
	shared bool

	mu sync.Mutex
	// sharedFreeAt is when the shared link has sent what was forwarded so far.
	sharedFreeAt time.Time
}

// nextFreeAt returns when n bytes have been sent, after those of one connection until freeAt
// or after those of all connections.
func (s *rateLimitedNetwork) nextFreeAt(freeAt time.Time, n int) time.Time {
	if s.shared {
		s.mu.Lock()
		defer s.mu.Unlock()
		freeAt = s.sharedFreeAt
	}
	if now := time.Now(); now.After(freeAt) {
		freeAt = now
	}
	freeAt = freeAt.Add(time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond))
	if s.shared {
		s.sharedFreeAt = freeAt
	}
	return freeAt
}

func (s *rateLimitedNetwork) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	listener, err := (&net.ListenConfig{Control: setSocketOption(unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)}).Listen(ctx, network, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go s.serve(listener)
	return (&net.Dialer{Control: setSocketOption(unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes)}).DialContext(ctx, network, listener.Addr().String())
}

const (
	// copyBytes is how many bytes are forwarded at a time: some packets.
	copyBytes = 4 << 10
	// receiveBufferBytes is the size of the socket's receive buffer, and segmentBytes the
	// maximum segment size (MSS).
	receiveBufferBytes = 16 << 10
	segmentBytes       = 1400
)

func setSocketOption(level, name, value int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) { sockErr = unix.SetsockoptInt(int(fd), level, name, value) })
		return errors.Join(err, sockErr)
	}
}

func (s *rateLimitedNetwork) serve(listener net.Listener) {
	clientConn, err := listener.Accept()
	_ = listener.Close()
	if err != nil {
		return
	}
	serverConn, err := net.Dial("tcp", s.serverAddress)
	if err != nil {
		_ = clientConn.Close()
		return
	}
	go func() {
		_, _ = io.Copy(clientConn, serverConn)
		_ = clientConn.Close()
	}()
	buf := make([]byte, copyBytes)
	freeAt := time.Now()
	for {
		n, err := clientConn.Read(buf)
		freeAt = s.nextFreeAt(freeAt, n)
		time.Sleep(time.Until(freeAt))
		if _, writeErr := serverConn.Write(buf[:n]); err != nil || writeErr != nil {
			_ = serverConn.Close()
			return
		}
	}
}

// BenchmarkSmallCallsBesideLargeBodies measures the latency of small calls on a link of
// 10 Mbit/s while bodies of 360 kB, as large as the largest of real users, use half of its
// bandwidth.
func BenchmarkSmallCallsBesideLargeBodies(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	server := Listen(testCommon(), &nopHandler{up: make(chan *Peer, 10)}, runnerFunc(echo), listener, nil, NewHeartbeatTiming(testIdle))
	defer server.Close()
	network := &rateLimitedNetwork{serverAddress: listener.Addr().String(), bytesPerSecond: 10_000_000 / 8}
	handler := &nopHandler{up: make(chan *Peer, 10)}
	client, err := DialClient(context.Background(), testCommon(), handler, listener.Addr().String(), DialOptions{Dial: network.dial, HeartbeatTiming: NewHeartbeatTiming(testIdle)})
	must.NoError(b, err)
	go client.Run()
	defer client.Close()
	<-handler.up
	stop := sendLargeBodies(client)
	defer stop()
	measureSmallCalls(b, client)
}

// measureSmallCalls makes a small call every 5 ms and reports the latencies. It uses the
// clients in turn.
func measureSmallCalls(b *testing.B, clients ...*Client) {
	var latencies []time.Duration
	for b.Loop() {
		startedAt := time.Now()
		if result := execute(clients[len(latencies)%len(clients)], "/small", nil); result.Refusal != nil {
			b.Fatal(result.Refusal)
		}
		latencies = append(latencies, time.Since(startedAt))
		time.Sleep(5 * time.Millisecond)
	}
	slices.Sort(latencies)
	b.ReportMetric(latencies[len(latencies)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(latencies[len(latencies)*99/100].Seconds()*1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSmallCallsBesideLargeBodiesOf60Senders measures the latency of small calls of 60
// senders to a receiver with a link of 10 Mbit/s, each of which sends one body of 360 kB after
// the other. "whole" sends them as to a daemon of the previous release; each small call then
// takes seconds, so give it a few calls only (-benchtime 20x).
func BenchmarkSmallCallsBesideLargeBodiesOf60Senders(b *testing.B) {
	for name, features := range map[string]wire.Features{"granted": wire.FeatureGrants, "whole": 0} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(b, err)
			server := Listen(testCommon(), &nopHandler{up: make(chan *Peer, 60), features: features}, runnerFunc(discard), listener, nil, NewHeartbeatTiming(testIdle))
			defer server.Close()
			network := &rateLimitedNetwork{serverAddress: listener.Addr().String(), bytesPerSecond: 10_000_000 / 8, shared: true}
			var clients []*Client
			for range 60 {
				handler := &nopHandler{up: make(chan *Peer, 1)}
				client, err := DialClient(context.Background(), testCommon(), handler, listener.Addr().String(), DialOptions{Dial: network.dial, HeartbeatTiming: NewHeartbeatTiming(testIdle)})
				must.NoError(b, err)
				go client.Run()
				defer client.Close()
				<-handler.up
				clients = append(clients, client)
			}
			bodies := sendBodiesInTurn(clients)
			measureSmallCalls(b, clients...)
			b.ReportMetric(float64(bodies.Load())*largeBodyBytes/b.Elapsed().Seconds()/1000, "kB/s-of-bodies")
		})
	}
}

const largeBodyBytes = 360_000

// sendBodiesInTurn makes each client send one body after the other until its link ends. It
// returns the number of bodies that have arrived.
func sendBodiesInTurn(clients []*Client) *atomic.Int64 {
	var arrived atomic.Int64
	for _, client := range clients {
		go func() {
			for {
				result := client.executeAndWait(&wire.Call{URI: "/large", Remaining: time.Minute}, make([]byte, largeBodyBytes))
				if result.Refusal != nil {
					return
				}
				arrived.Add(1)
			}
		}()
	}
	return &arrived
}

// discard answers without a body.
func discard(_ *wire.Call, _ []byte, done func(call.Result)) func() {
	go done(call.Result{Answer: &call.Answer{Status: 200}})
	return func() {}
}

// executeAndWait runs one call and returns its result.
func (cl *Client) executeAndWait(c *wire.Call, body []byte) call.Result {
	done := make(chan call.Result, 1)
	cl.Execute(c, body, func(r call.Result) { done <- r })
	return <-done
}

// sendLargeBodies sends a body of 360 kB every 600 ms until stop is called.
func sendLargeBodies(client *Client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var sender sync.WaitGroup
	sender.Go(func() {
		ticker := time.NewTicker(600 * time.Millisecond)
		defer ticker.Stop()
		for {
			client.Execute(&wire.Call{URI: "/large", Remaining: 10 * time.Second}, make([]byte, 360_000), ignore)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return func() { cancel(); sender.Wait() }
}

func ignore(call.Result) {}
