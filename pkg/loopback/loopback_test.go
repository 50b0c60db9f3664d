package loopback

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
)

// The VMs that all tests of a package start in one process, and the highest port that they use.
const (
	vmsOfProcess = 400
	lastTestPort = 7412
)

// TestVMsOfAFleetHaveTheSamePorts guards against a VM that finds no seed because its own ports
// differ: daemons use their own port of links for the addresses of seeds.
func TestVMsOfAFleetHaveTheSamePorts(t *testing.T) {
	var a Allocator
	seen := map[string]bool{}
	for range vmsOfProcess {
		v := a.Next()
		test.Eq(t, fmt.Sprintf("%s:%d", v.IP(), PortLinks), v.Address(PortLinks))
		test.False(t, seen[v.IP()], test.Sprint(v.IP()))
		seen[v.IP()] = true
	}
}

func TestAddressesDoNotConflict(t *testing.T) {
	var a Allocator
	seen := map[string]bool{}
	for range 3 * vmsOfProcess {
		v := a.Next()
		for port := PortCallers; port <= lastTestPort; port++ {
			address := v.Address(port)
			test.False(t, seen[address], test.Sprint(address))
			seen[address] = true
		}
	}
}
