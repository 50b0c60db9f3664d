// Package loopback allocates addresses to embedded daemons and tests. They do not conflict,
// since each process uses loopback IP addresses of its own and the ports are below the
// range from which the system takes those of outgoing connections.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// The ports of one embedded VM: for callers, for links from other daemons, for operators,
// for metrics, of the backend server and of the stand-in for the platform.
const (
	PortCallers   = 7400
	PortLinks     = 7401
	PortOperators = 7402
	PortMetrics   = 7403
	PortBackend   = 7404
	PortPlatform  = 7405
)

// The IP addresses of one process are those of two networks 127.a.b.0/24, of which a and b follow
// from its id: a in the lower half of the second byte, and in the upper half.
const (
	hostsPerNetwork    = 250
	networksPerProcess = 2
	processNetworks    = 126
)

// hostsPerPortRange is how many VMs of one process have IP addresses of their own and the same
// ports, as VMs of a platform have. Further VMs use the same addresses with higher ports.
const hostsPerPortRange = networksPerProcess * hostsPerNetwork

// portRangeSize is the distance between the ports of two VMs with the same IP address. Tests use
// ports above those of this package, too.
const portRangeSize = 20

// Allocator allocates the addresses of VMs. Its zero value is ready to use, and it is safe
// for concurrent use.
type Allocator struct{ next atomic.Int64 }

// VM holds the addresses of one embedded VM.
type VM struct {
	ip         string
	portOffset int
}

// Next allocates the addresses of one more VM.
func (a *Allocator) Next() VM {
	n := int(a.next.Add(1) - 1)
	pid := os.Getpid()
	network := n / hostsPerNetwork % networksPerProcess
	return VM{
		ip:         fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%processNetworks+network*processNetworks, pid&0xff, 1+n%hostsPerNetwork),
		portOffset: n / hostsPerPortRange * portRangeSize,
	}
}

// Address returns IP address and port, as in "127.1.2.3:7400", for one of the Port
// constants.
func (v VM) Address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port+v.portOffset) }

// IP returns the IP address.
func (v VM) IP() string { return v.ip }
