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

// slowNetwork passes connections on at a rate of bytes a second one way, with
// little room in between, as a full link of that rate does.
type slowNetwork struct {
	to   string
	rate int
}

func (s *slowNetwork) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	l, err := (&net.ListenConfig{Control: option(unix.SOL_SOCKET, unix.SO_RCVBUF, window)}).Listen(ctx, network, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go s.serve(l)
	return (&net.Dialer{Control: option(unix.IPPROTO_TCP, unix.TCP_MAXSEG, segment)}).DialContext(ctx, network, l.Addr().String())
}

const (
	// step is how much passes at once: some packets.
	step = 4 << 10
	// window is what may be under way, and segment a packet, in bytes.
	window  = 16 << 10
	segment = 1400
)

func option(level, name, value int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), level, name, value) })
		return errors.Join(err, set)
	}
}

func (s *slowNetwork) serve(l net.Listener) {
	near, err := l.Accept()
	_ = l.Close()
	if err != nil {
		return
	}
	far, err := net.Dial("tcp", s.to)
	if err != nil {
		_ = near.Close()
		return
	}
	go func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	}()
	buf := make([]byte, step)
	free := time.Now()
	for {
		n, err := near.Read(buf)
		if now := time.Now(); now.After(free) {
			free = now
		}
		free = free.Add(time.Duration(n) * time.Second / time.Duration(s.rate))
		time.Sleep(time.Until(free))
		if _, failed := far.Write(buf[:n]); err != nil || failed != nil {
			_ = far.Close()
			return
		}
	}
}

// BenchmarkSmallCallsBesideLargeBodies tells how long small calls take on a link
// of 10 Mbit/s while bodies of 360 kB, the users' largest, fill half of it.
func BenchmarkSmallCallsBesideLargeBodies(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	server := Listen(testCommon(), &quietControl{up: make(chan *Peer, 10)}, runnerFunc(echo), listener, nil, NewHeartbeatTiming(testHeartbeat))
	defer server.Close()
	slow := &slowNetwork{to: listener.Addr().String(), rate: 10_000_000 / 8}
	control := &quietControl{up: make(chan *Peer, 10)}
	client, err := DialClient(context.Background(), testCommon(), control, listener.Addr().String(), DialOptions{Dial: slow.dial, HeartbeatTiming: NewHeartbeatTiming(testHeartbeat)})
	must.NoError(b, err)
	go client.Run()
	defer client.Close()
	<-control.up
	stop := sendLarge(client)
	defer stop()
	var took []time.Duration
	for b.Loop() {
		began := time.Now()
		if result := do(client, "/small", nil); result.Refusal != nil {
			b.Fatal(result.Refusal)
		}
		took = append(took, time.Since(began))
		time.Sleep(5 * time.Millisecond)
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// sendLarge sends a large body every 600 ms.
func sendLarge(client *Client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() {
		every := time.NewTicker(600 * time.Millisecond)
		defer every.Stop()
		for {
			client.Execute(&wire.Call{URI: "/large", Remaining: 10 * time.Second}, make([]byte, 360_000), ignore)
			select {
			case <-every.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return func() { cancel(); ended.Wait() }
}

func ignore(call.Result) {}
