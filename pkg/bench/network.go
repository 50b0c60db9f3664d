package bench

import (
	"net"
	"sync"
)

// network holds the faults of the simulated network. A side of a fault is the
// name of a VM or of a data centre, or "" for every VM; a fault between two
// names applies to all pairs of VMs in them.
type network struct {
	mu sync.Mutex
	// held contains the directions in which nothing is delivered. Its channels
	// are closed by release.
	held map[direction]chan struct{}
	// partitioned contains the directions between which connections break and
	// none can be opened.
	partitioned map[direction]struct{}
	conns       map[*delayedConn]route
}

// direction is a pair of names, from sender to receiver.
type direction struct{ from, to string }

// endpoint is a VM and its data centre.
type endpoint struct{ vm, dataCentre string }

// route is the dialling and the dialled VM of a connection.
type route struct{ from, to endpoint }

func newNetwork() *network {
	return &network{held: map[direction]chan struct{}{}, partitioned: map[direction]struct{}{}, conns: map[*delayedConn]route{}}
}

// matchingDirections returns all directions whose faults apply from one VM to
// another.
func matchingDirections(from, to endpoint) []direction {
	return []direction{
		{from.vm, to.vm}, {from.vm, to.dataCentre}, {from.dataCentre, to.vm}, {from.dataCentre, to.dataCentre},
		{from.vm, ""}, {"", to.vm},
	}
}

// hold stops delivery in one direction without closing connections, until
// release is called. An empty name stands for every VM.
func (n *network) hold(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held[direction{from, to}] == nil {
		n.held[direction{from, to}] = make(chan struct{})
	}
}

func (n *network) release(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.held[direction{from, to}]; ch != nil {
		close(ch)
		delete(n.held, direction{from, to})
	}
}

// heldUntil returns a channel that is closed when delivery resumes; nil when
// the direction is not held.
func (n *network) heldUntil(from, to endpoint) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range matchingDirections(from, to) {
		if ch := n.held[d]; ch != nil {
			return ch
		}
	}
	return nil
}

// partition breaks all connections between two VMs or data centres and lets
// none be opened, until heal is called.
func (n *network) partition(a, b string) {
	n.mu.Lock()
	n.partitioned[direction{a, b}], n.partitioned[direction{b, a}] = struct{}{}, struct{}{}
	var broken []net.Conn
	for conn, r := range n.conns {
		if n.isPartitioned(r.from, r.to) {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, direction{a, b})
	delete(n.partitioned, direction{b, a})
}

// isPartitioned reports whether a fault cuts the connection between two VMs.
// The caller holds n.mu.
func (n *network) isPartitioned(from, to endpoint) bool {
	for _, d := range matchingDirections(from, to) {
		if _, ok := n.partitioned[d]; ok {
			return true
		}
	}
	return false
}

// addConn registers a connection, so that a partition can break it; false when
// its VMs are partitioned already.
func (n *network) addConn(conn *delayedConn, r route) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isPartitioned(r.from, r.to) {
		return false
	}
	n.conns[conn] = r
	return true
}

func (n *network) removeConn(conn *delayedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}
