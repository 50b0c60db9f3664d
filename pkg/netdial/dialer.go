// Package netdial opens TCP connections that end by themselves when the other end
// has gone silent: an open connection may carry nothing any more without ever being
// reset, as behind a cut or a firewall that forgot it, while new ones work.
package netdial

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// idle is the time without traffic after which the other end is probed, and
	// probeEvery the time between two probes: the kernel's least.
	idle       = time.Second
	probeEvery = time.Second
	// probes is how many in a row must stay unanswered. With idle they find a
	// connection silent within three seconds, which is what platforms give a VM to be
	// in touch again.
	probes = 2
)

// New makes a dialer. timeout bounds the opening of a connection; unacknowledged is
// how long sent bytes may stay without an acknowledgement before the connection
// ends, which the other end's kernel gives also while its process is busy; 0: only
// probes end it.
func New(timeout, unacknowledged time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idle, Interval: probeEvery, Count: probes},
		Control:         control(unacknowledged),
	}
}

// control sets the bound on unacknowledged bytes.
func control(unacknowledged time.Duration) func(string, string, syscall.RawConn) error {
	if unacknowledged == 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		if err != nil {
			return errors.Wrap(err, "socket")
		}
		return errors.Wrap(set, "bound on unacknowledged bytes")
	}
}
