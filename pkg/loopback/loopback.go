// Package loopback gives embedded daemons and tests addresses that do not
// clash: each process has loopback IP numbers of its own, and ports below the
// range from which the system takes those of outgoing connections.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// The ports of one embedded VM.
const (
	PortCallers   = 7400
	PortLinks     = 7401
	PortOperators = 7402
	PortMetrics   = 7403
	PortBackend   = 7404
	PortPlatform  = 7405
)

// hostsPerPort is how many IP numbers of 127.a.b.0/24 are used; more VMs take
// further ports.
const hostsPerPort = 250

const portStep = 10

// Allocator hands out addresses.
type Allocator struct{ next atomic.Int64 }

// VM is the addresses of one embedded VM.
type VM struct {
	ip   string
	base int
}

// Next returns the addresses of a further VM.
func (a *Allocator) Next() VM {
	n := int(a.next.Add(1) - 1)
	pid := os.Getpid()
	return VM{
		ip:   fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+n%hostsPerPort),
		base: n / hostsPerPort * portStep,
	}
}

// Address returns the address of one of the ports.
func (v VM) Address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port+v.base) }

// IP returns the IP number.
func (v VM) IP() string { return v.ip }
