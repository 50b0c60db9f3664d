package link

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
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
		if now := time.Now(); now.After(freeAt) {
			freeAt = now
		}
		freeAt = freeAt.Add(time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond))
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
	var latencies []time.Duration
	for b.Loop() {
		startedAt := time.Now()
		if result := execute(client, "/small", nil); result.Refusal != nil {
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
