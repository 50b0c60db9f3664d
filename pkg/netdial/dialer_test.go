package netdial

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// socketOptions opens a connection with dialer and returns its socket options. idleFor is
// in seconds, unacknowledged in milliseconds.
func socketOptions(t *testing.T, dialer *net.Dialer) (keepAlive, idleFor, count, unacknowledged int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	rawConn, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	get := func(fd uintptr, level, name int) int {
		value, err := unix.GetsockoptInt(int(fd), level, name)
		test.NoError(t, err)
		return value
	}
	must.NoError(t, rawConn.Control(func(fd uintptr) {
		keepAlive = get(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		idleFor = get(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		count = get(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		unacknowledged = get(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	return keepAlive, idleFor, count, unacknowledged
}

// TestDialerSetsSocketOptions checks that the kernel closes a dead connection within three
// seconds if nothing is sent, and after the time limit if bytes stay unacknowledged. It
// reads the socket options, since dropping packets on loopback requires privileges.
func TestDialerSetsSocketOptions(t *testing.T) {
	keepAlive, idleFor, count, unacknowledged := socketOptions(t, New(time.Second, 300*time.Millisecond))
	test.Eq(t, 1, keepAlive)
	test.Eq(t, 1, idleFor)
	test.Eq(t, 2, count)
	test.Eq(t, 300, unacknowledged)
	keepAlive, _, _, unacknowledged = socketOptions(t, New(time.Second, 0))
	test.Eq(t, 1, keepAlive)
	test.Eq(t, 0, unacknowledged)
}
