package ingress

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangupEvery is how often a connection whose bytes may not be read on is asked
// whether its caller has left: well within the half second in which users expect
// that nothing more is run for it.
const hangupEvery = 100 * time.Millisecond

// hungUp asks the kernel whether the other end has closed the connection or its
// sending half, however many bytes wait before that. Connections that are no
// sockets say nothing.
func hungUp(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var gone bool
	err = raw.Control(func(fd uintptr) {
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		// A failed question, as one that a signal cut short, is asked again.
		n, err := unix.Poll(ask, 0)
		gone = err == nil && n > 0 && ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || err != nil
}
