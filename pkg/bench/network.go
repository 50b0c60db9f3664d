package bench

import (
	"net"
	"sync"
)

// network is the faults of the embedded network. An end is a VM's name or a
// data centre's; a fault between two ends holds for all pairs of VMs in them.
type network struct {
	mu sync.Mutex
	// held are directions in which nothing is delivered, until released.
	held map[way]chan struct{}
	// cut are pairs between which connections break and none can be opened.
	cut   map[way]struct{}
	conns map[*delayed]route
}

// way is a direction between two ends.
type way struct{ from, to string }

// end is a VM with its data centre.
type end struct{ vm, dataCentre string }

// route is what a connection joins: who dialled, and whom.
type route struct{ from, to end }

func newNetwork() *network {
	return &network{held: map[way]chan struct{}{}, cut: map[way]struct{}{}, conns: map[*delayed]route{}}
}

// ways are the names under which a direction between two VMs may be at fault.
func ways(from, to end) []way {
	return []way{
		{from.vm, to.vm}, {from.vm, to.dataCentre}, {from.dataCentre, to.vm}, {from.dataCentre, to.dataCentre},
		{from.vm, ""}, {"", to.vm},
	}
}

// hold stops delivery in one direction: a one-way cut that nobody is told of.
// An empty end stands for everybody.
func (n *network) hold(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held[way{from, to}] == nil {
		n.held[way{from, to}] = make(chan struct{})
	}
}

func (n *network) release(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.held[way{from, to}]; ch != nil {
		close(ch)
		delete(n.held, way{from, to})
	}
}

// holding returns a channel to wait for while a direction is held; nil when it
// is not.
func (n *network) holding(from, to end) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ways(from, to) {
		if ch := n.held[w]; ch != nil {
			return ch
		}
	}
	return nil
}

// part breaks all connections between two ends and lets none be opened.
func (n *network) part(a, b string) {
	n.mu.Lock()
	n.cut[way{a, b}], n.cut[way{b, a}] = struct{}{}, struct{}{}
	var broken []net.Conn
	for conn, r := range n.conns {
		if n.isCut(r.from, r.to) {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

func (n *network) join(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, way{a, b})
	delete(n.cut, way{b, a})
}

// isCut expects the lock to be held.
func (n *network) isCut(from, to end) bool {
	for _, w := range ways(from, to) {
		if _, ok := n.cut[w]; ok {
			return true
		}
	}
	return false
}

// enter notes a connection; false when its ends are parted.
func (n *network) enter(conn *delayed, r route) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isCut(r.from, r.to) {
		return false
	}
	n.conns[conn] = r
	return true
}

func (n *network) leave(conn *delayed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}
