// Package netdial configures TCP sockets. Its dialer opens connections that the kernel
// closes when the other end no longer responds. Otherwise a connection may hang without
// ever being reset, as after a network failure or when a firewall has dropped its state,
// while new connections work.
package netdial

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the time without traffic before the first keep-alive probe, and
	// keepAliveInterval the time between two probes. One second is the kernel's minimum.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveProbes is how many probes in a row must stay unanswered for the kernel to
	// close the connection: three seconds after the last traffic, the time within which
	// platforms require a VM to be reachable again.
	keepAliveProbes = 2
)

// New returns a dialer. timeout limits the time to open a connection. unacknowledged is
// how long sent bytes may stay unacknowledged before the kernel closes the connection; the
// other end's kernel acknowledges them even while its process is busy. 0 sets no such
// limit, so that only keep-alive probes detect a dead connection.
func New(timeout, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout(unacknowledged),
	}
}

// setUserTimeout returns a control function for net.Dialer that sets TCP_USER_TIMEOUT, or
// nil if unacknowledged is 0.
func setUserTimeout(unacknowledged time.Duration) func(string, string, syscall.RawConn) error {
	if unacknowledged == 0 {
		return nil
	}
	return func(_, _ string, rawConn syscall.RawConn) error {
		var sockErr error
		err := rawConn.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		if err != nil {
			return errors.Wrap(err, "access the socket")
		}
		return errors.Wrap(sockErr, "set TCP_USER_TIMEOUT")
	}
}
