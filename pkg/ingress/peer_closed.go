package ingress

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// peerCheckInterval is how often peerClosed is called for a connection that is not read,
// because too many bytes of it are buffered. Runs for a caller that has disconnected must
// be cancelled within half a second.
const peerCheckInterval = 100 * time.Millisecond

// peerClosed asks the kernel whether the other end has closed the connection or its
// sending half, even if unread bytes precede the close. It returns false for connections
// that are not sockets, and true for sockets that are closed on this side.
func peerClosed(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var closed bool
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		// A poll that fails, as when a signal interrupts it, is repeated at the next
		// call of peerClosed.
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}
