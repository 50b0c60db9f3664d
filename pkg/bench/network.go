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
func (self *network) hold(from, to string) {
	self.mu.Lock()
	defer self.mu.Unlock()
	if self.held[way{from, to}] == nil {
		self.held[way{from, to}] = make(chan struct{})
	}
}

func (self *network) release(from, to string) {
	self.mu.Lock()
	defer self.mu.Unlock()
	if ch := self.held[way{from, to}]; ch != nil {
		close(ch)
		delete(self.held, way{from, to})
	}
}

// holding returns a channel to wait for while a direction is held; nil when it
// is not.
func (self *network) holding(from, to end) <-chan struct{} {
	self.mu.Lock()
	defer self.mu.Unlock()
	for _, w := range ways(from, to) {
		if ch := self.held[w]; ch != nil {
			return ch
		}
	}
	return nil
}

// part breaks all connections between two ends and lets none be opened.
func (self *network) part(a, b string) {
	self.mu.Lock()
	self.cut[way{a, b}], self.cut[way{b, a}] = struct{}{}, struct{}{}
	var broken []net.Conn
	for conn, r := range self.conns {
		if self.isCut(r.from, r.to) {
			broken = append(broken, conn)
		}
	}
	self.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

func (self *network) join(a, b string) {
	self.mu.Lock()
	defer self.mu.Unlock()
	delete(self.cut, way{a, b})
	delete(self.cut, way{b, a})
}

// isCut expects the lock to be held.
func (self *network) isCut(from, to end) bool {
	for _, w := range ways(from, to) {
		if _, ok := self.cut[w]; ok {
			return true
		}
	}
	return false
}

// enter notes a connection; false when its ends are parted.
func (self *network) enter(conn *delayed, r route) bool {
	self.mu.Lock()
	defer self.mu.Unlock()
	if self.isCut(r.from, r.to) {
		return false
	}
	self.conns[conn] = r
	return true
}

func (self *network) leave(conn *delayed) {
	self.mu.Lock()
	defer self.mu.Unlock()
	delete(self.conns, conn)
}
