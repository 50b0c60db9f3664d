package netdial

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// LimitUnsent bounds the bytes of a connection that wait in the kernel before
// they are sent the first time: whoever writes more waits, and may let something
// urgent go first. The bytes under way to the other end are not counted.
func LimitUnsent(c net.Conn, bytes int) error {
	if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
		// TLS over a socket.
		c = inner.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return errors.Errorf("a %T is no socket", c)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	return errors.Wrap(set, "bound on unsent bytes")
}
