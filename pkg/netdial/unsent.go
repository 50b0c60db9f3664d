package netdial

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// LimitUnsent limits how many bytes of a connection the kernel queues before it sends them
// for the first time (TCP_NOTSENT_LOWAT). Writes beyond the limit block, so that the writer
// can still write more urgent data first. Bytes that were sent but not acknowledged are not
// counted. It returns an error if c is neither a socket nor a wrapper of one, such as a TLS
// connection.
func LimitUnsent(c net.Conn, bytes int) error {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		// A TLS connection wraps the socket.
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return errors.Errorf("a %T is not a socket", c)
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the socket")
	}
	var sockErr error
	err = rawConn.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
	if err != nil {
		return errors.Wrap(err, "access the socket")
	}
	return errors.Wrap(sockErr, "set TCP_NOTSENT_LOWAT")
}
