package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
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
		{"store down", onStore(fakestore.Faults{Down: true})},
		{"store slow", onStore(fakestore.Faults{Delay: 200 * time.Millisecond})},
		{"store loses answers", onStore(fakestore.Faults{LoseAnswers: 0.5})},
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

func onStore(f fakestore.Faults) func(*drill, *rand.Rand) func() {
	return func(d *drill, _ *rand.Rand) func() {
		d.cluster.store.SetFaults(f)
		return func() { d.cluster.store.SetFaults(fakestore.Faults{}) }
	}
}

// worker is a random node with a backend server.
func (dr *drill) worker(rnd *rand.Rand) *node {
	var out []*node
	for _, n := range dr.cluster.nodes {
		if n.backend != nil {
			out = append(out, n)
		}
	}
	return out[rnd.IntN(len(out))]
}

// take takes a running daemon for a fault; false when another fault has it.
func (dr *drill) take(n *node) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.busy[n] {
		return false
	}
	dr.busy[n] = true
	return true
}

func (dr *drill) giveBack(n *node) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	delete(dr.busy, n)
}

// drain stops a daemon as planned, under load, and starts it again.
func (dr *drill) drain(rnd *rand.Rand) func() {
	n := dr.worker(rnd)
	if !dr.take(n) {
		return func() {}
	}
	began := time.Now()
	old := n.current()
	old.Leave()
	return func() {
		<-old.Left()
		dr.note(func(p *Violations) {
			p.CutByDrain += int(old.Cut())
			if last := n.backend.Ledger().Last(); last.Sub(began) > leavingBound {
				p.WorkAfterLeaving++
			}
		})
		old.Stop()
		dr.restart(n)
	}
}

// leavingBound is when a leaving server may receive no new work any more.
const leavingBound = time.Second

// kill ends a daemon with calls in flight.
func (dr *drill) kill(rnd *rand.Rand) func() {
	n := dr.worker(rnd)
	if !dr.take(n) {
		return func() {}
	}
	n.current().Stop()
	return func() { dr.restart(n) }
}

// replace ends a daemon and puts a new VM under its name.
func (dr *drill) replace(rnd *rand.Rand) func() {
	n := dr.worker(rnd)
	if !dr.take(n) {
		return func() {}
	}
	n.current().Stop()
	dr.changeVMs(func() { n.unlisted = true })
	return func() {
		dr.changeVMs(func() {
			n.unlisted = false
			n.vm.Started++
		})
		dr.restart(n)
	}
}

func (dr *drill) changeVMs(change func()) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	change()
	var vms []store.VM
	for _, n := range dr.cluster.nodes {
		if !n.unlisted {
			vms = append(vms, n.vm)
		}
	}
	dr.cluster.store.SetVMs(vms)
}

func (dr *drill) restart(n *node) {
	if err := dr.cluster.startDaemon(n); err != nil {
		dr.fail(err)
	}
	dr.giveBack(n)
}

// freeze stops all that goes to and from a daemon over links, without an end
// of any connection: to the others it looks like a paused process.
func (dr *drill) freeze(rnd *rand.Rand) func() {
	vm := dr.worker(rnd).vm.ID
	dr.cluster.network.hold(vm, "")
	dr.cluster.network.hold("", vm)
	return func() {
		dr.cluster.network.release(vm, "")
		dr.cluster.network.release("", vm)
	}
}

func (dr *drill) twoDataCentres(rnd *rand.Rand) (a, b string) {
	all := dr.cluster.deployment.DataCentres
	i := rnd.IntN(len(all))
	return all[i], all[(i+1+rnd.IntN(len(all)-1))%len(all)]
}

func (dr *drill) oneWay(rnd *rand.Rand) func() {
	a, b := dr.twoDataCentres(rnd)
	dr.cluster.network.hold(a, b)
	return func() { dr.cluster.network.release(a, b) }
}

func (dr *drill) partDataCentres(rnd *rand.Rand) func() {
	a, b := dr.twoDataCentres(rnd)
	dr.cluster.network.part(a, b)
	return func() { dr.cluster.network.join(a, b) }
}

// race lets two operators change the same kind at once, through two daemons.
func (dr *drill) race(rnd *rand.Rand) func() {
	s := &dr.cluster.deployment.Services[rnd.IntN(len(dr.cluster.deployment.Services))]
	k := s.Kinds[rnd.IntN(len(s.Kinds))].Placement
	done := make(chan struct{}, 2)
	for i := range 2 {
		n := dr.cluster.nodes[rnd.IntN(len(dr.cluster.nodes))]
		fewer := k
		fewer.DataCentres = k.DataCentres[:1+(len(k.DataCentres)+i-1)%len(k.DataCentres)]
		id := fmt.Sprintf("race-%d-%d", rnd.Uint64(), i)
		go func() {
			dr.apply(n, id, s.Name, fewer)
			done <- struct{}{}
		}()
	}
	return func() {
		<-done
		<-done
		// Long enough that a run in a place that is not allowed any more counts.
		time.Sleep(inForceBound + time.Second)
		dr.apply(dr.cluster.nodes[0], fmt.Sprintf("restore-%d", rnd.Uint64()), s.Name, k)
	}
}

// apply changes a kind through a daemon. What was accepted is read from the
// store's history in the end, whatever the operator was told.
func (dr *drill) apply(n *node, id, service string, k placement.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := n.current().Apply(ctx, id, "operator", []placement.Change{{Op: placement.PutKind, Service: service, Kind: k}})
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.races++
	if err != nil {
		dr.racesLost++
	}
}

// flap leaves a live VM out of the platform's list for a while.
func (dr *drill) flap(rnd *rand.Rand) func() {
	n := dr.worker(rnd)
	dr.changeVMs(func() { n.unlisted = true })
	return func() { dr.changeVMs(func() { n.unlisted = false }) }
}
