package netdial

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// options reads what the kernel holds of a connection.
func options(t *testing.T, dialer *net.Dialer) (keepAlive, idleFor, count, unacknowledged int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	get := func(fd uintptr, level, name int) int {
		value, err := unix.GetsockoptInt(int(fd), level, name)
		test.NoError(t, err)
		return value
	}
	must.NoError(t, raw.Control(func(fd uintptr) {
		keepAlive = get(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		idleFor = get(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		count = get(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		unacknowledged = get(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	return keepAlive, idleFor, count, unacknowledged
}

// TestSilentConnectionsEndByThemselves: within three seconds where nothing is sent,
// and after the bound where bytes stay unacknowledged. Loopback cannot lose bytes
// without the rights to, so the test asks the kernel what it will do.
func TestSilentConnectionsEndByThemselves(t *testing.T) {
	keepAlive, idleFor, count, unacknowledged := options(t, New(time.Second, 300*time.Millisecond))
	test.Eq(t, 1, keepAlive)
	test.Eq(t, 1, idleFor)
	test.Eq(t, 2, count)
	test.Eq(t, 300, unacknowledged)
	keepAlive, _, _, unacknowledged = options(t, New(time.Second, 0))
	test.Eq(t, 1, keepAlive)
	test.Eq(t, 0, unacknowledged)
}
