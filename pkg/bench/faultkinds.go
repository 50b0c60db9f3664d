package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/platform"
	"github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/standin/store"
)

// fault is one kind of failure from the brief's list. begin starts it and
// returns what puts it right again.
type fault struct {
	name  string
	begin func(d *drill, rnd *rand.Rand) (end func())
}

// faultKinds are all kinds that a drill brings about.
func faultKinds() []fault {
	return []fault{
		{"slow server", onBackend(backend.Faults{Speed: 0.1})},
		{"server fails fast", onBackend(backend.Faults{FailFast: true})},
		{"server cuts answers", onBackend(backend.Faults{CutAnswers: true})},
		{"drain", (*drill).drain},
		{"kill", (*drill).kill},
		{"VM replaced", (*drill).replace},
		{"freeze", (*drill).freeze},
		{"one-way cut", (*drill).oneWay},
		{"parted data centres", (*drill).partDataCentres},
		{"store down", onStore(store.Faults{Down: true})},
		{"store slow", onStore(store.Faults{Delay: 200 * time.Millisecond})},
		{"store loses answers", onStore(store.Faults{LoseAnswers: 0.5})},
		{"racing operators", (*drill).race},
		{"list of VMs flaps", (*drill).flap},
	}
}

func onBackend(f backend.Faults) func(*drill, *rand.Rand) func() {
	return func(d *drill, rnd *rand.Rand) func() {
		n := d.worker(rnd)
		n.backend.SetFaults(f)
		return func() { n.backend.SetFaults(backend.Faults{}) }
	}
}

func onStore(f store.Faults) func(*drill, *rand.Rand) func() {
	return func(d *drill, _ *rand.Rand) func() {
		d.cluster.store.SetFaults(f)
		return func() { d.cluster.store.SetFaults(store.Faults{}) }
	}
}

// worker is a random node with a backend server.
func (self *drill) worker(rnd *rand.Rand) *node {
	var out []*node
	for _, n := range self.cluster.nodes {
		if n.backend != nil {
			out = append(out, n)
		}
	}
	return out[rnd.IntN(len(out))]
}

// take takes a running daemon for a fault; false when another fault has it.
func (self *drill) take(n *node) bool {
	self.mu.Lock()
	defer self.mu.Unlock()
	if self.busy[n] {
		return false
	}
	self.busy[n] = true
	return true
}

func (self *drill) giveBack(n *node) {
	self.mu.Lock()
	defer self.mu.Unlock()
	delete(self.busy, n)
}

// drain stops a daemon as planned, under load, and starts it again.
func (self *drill) drain(rnd *rand.Rand) func() {
	n := self.worker(rnd)
	if !self.take(n) {
		return func() {}
	}
	began := time.Now()
	old := n.current()
	old.Leave()
	return func() {
		<-old.Left()
		self.note(func(p *Promises) {
			p.CutByDrain += int(old.Cut())
			if last := n.backend.Ledger().Last(); last.Sub(began) > leavingBound {
				p.WorkAfterLeaving++
			}
		})
		old.Stop()
		self.restart(n)
	}
}

// leavingBound is when a leaving server may receive no new work any more.
const leavingBound = time.Second

// kill ends a daemon with calls in flight.
func (self *drill) kill(rnd *rand.Rand) func() {
	n := self.worker(rnd)
	if !self.take(n) {
		return func() {}
	}
	n.current().Stop()
	return func() { self.restart(n) }
}

// replace ends a daemon and puts a new VM under its name.
func (self *drill) replace(rnd *rand.Rand) func() {
	n := self.worker(rnd)
	if !self.take(n) {
		return func() {}
	}
	n.current().Stop()
	self.changeVMs(func() { n.unlisted = true })
	return func() {
		self.changeVMs(func() {
			n.unlisted = false
			n.vm.Started++
		})
		self.restart(n)
	}
}

func (self *drill) changeVMs(change func()) {
	self.mu.Lock()
	defer self.mu.Unlock()
	change()
	var vms []platform.VM
	for _, n := range self.cluster.nodes {
		if !n.unlisted {
			vms = append(vms, n.vm)
		}
	}
	self.cluster.store.SetVMs(vms)
}

func (self *drill) restart(n *node) {
	if err := self.cluster.startDaemon(n); err != nil {
		self.fail(err)
	}
	self.giveBack(n)
}

// freeze stops all that goes to and from a daemon over links, without an end
// of any connection: to the others it looks like a paused process.
func (self *drill) freeze(rnd *rand.Rand) func() {
	vm := self.worker(rnd).vm.ID
	self.cluster.network.hold(vm, "")
	self.cluster.network.hold("", vm)
	return func() {
		self.cluster.network.release(vm, "")
		self.cluster.network.release("", vm)
	}
}

func (self *drill) twoDataCentres(rnd *rand.Rand) (a, b string) {
	all := self.cluster.deployment.DataCentres
	i := rnd.IntN(len(all))
	return all[i], all[(i+1+rnd.IntN(len(all)-1))%len(all)]
}

func (self *drill) oneWay(rnd *rand.Rand) func() {
	a, b := self.twoDataCentres(rnd)
	self.cluster.network.hold(a, b)
	return func() { self.cluster.network.release(a, b) }
}

func (self *drill) partDataCentres(rnd *rand.Rand) func() {
	a, b := self.twoDataCentres(rnd)
	self.cluster.network.part(a, b)
	return func() { self.cluster.network.join(a, b) }
}

// race lets two operators change the same kind at once, through two daemons.
func (self *drill) race(rnd *rand.Rand) func() {
	s := &self.cluster.deployment.Services[rnd.IntN(len(self.cluster.deployment.Services))]
	k := s.Kinds[rnd.IntN(len(s.Kinds))].Placement
	done := make(chan struct{}, 2)
	for i := range 2 {
		n := self.cluster.nodes[rnd.IntN(len(self.cluster.nodes))]
		fewer := k
		fewer.DataCentres = k.DataCentres[:1+(len(k.DataCentres)+i-1)%len(k.DataCentres)]
		id := fmt.Sprintf("race-%d-%d", rnd.Uint64(), i)
		go func() {
			self.apply(n, id, s.Name, fewer)
			done <- struct{}{}
		}()
	}
	return func() {
		<-done
		<-done
		// Long enough that a run in a place that is not allowed any more counts.
		time.Sleep(inForceBound + time.Second)
		self.apply(self.cluster.nodes[0], fmt.Sprintf("restore-%d", rnd.Uint64()), s.Name, k)
	}
}

// apply changes a kind through a daemon. What was accepted is read from the
// store's history in the end, whatever the operator was told.
func (self *drill) apply(n *node, id, service string, k placement.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := n.current().Apply(ctx, id, "operator", []placement.Change{{Op: placement.PutKind, Service: service, Kind: k}})
	self.mu.Lock()
	defer self.mu.Unlock()
	self.races++
	if err != nil {
		self.racesLost++
	}
}

// flap leaves a live VM out of the platform's list for a while.
func (self *drill) flap(rnd *rand.Rand) func() {
	n := self.worker(rnd)
	self.changeVMs(func() { n.unlisted = true })
	return func() { self.changeVMs(func() { n.unlisted = false }) }
}
