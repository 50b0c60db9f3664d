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

// fault is one kind of failure from the brief's list. inject starts it and
// returns a function that ends it.
type fault struct {
	name   string
	inject func(fr *faultRun, rnd *rand.Rand) (end func())
}

// faultKinds returns all kinds of faults.
func faultKinds() []fault {
	return []fault{
		{"slow server", onBackend(backend.Faults{Speed: 0.1})},
		{"server fails fast", onBackend(backend.Faults{FailFast: true})},
		{"server cuts answers", onBackend(backend.Faults{CutAnswers: true})},
		{"drain", (*faultRun).drain},
		{"kill", (*faultRun).kill},
		{"VM replaced", (*faultRun).replace},
		{"freeze", (*faultRun).freeze},
		{"one-way cut", (*faultRun).cutOneWay},
		{"parted data centres", (*faultRun).partitionDataCentres},
		{"store down", onStore(fakestore.Faults{Down: true})},
		{"store slow", onStore(fakestore.Faults{Delay: 200 * time.Millisecond})},
		{"store loses answers", onStore(fakestore.Faults{LoseAnswers: 0.5})},
		{"racing operators", (*faultRun).raceOperators},
		{"list of VMs flaps", (*faultRun).flapVMList},
	}
}

// onBackend sets faults of a random backend server.
func onBackend(f backend.Faults) func(*faultRun, *rand.Rand) func() {
	return func(fr *faultRun, rnd *rand.Rand) func() {
		n := fr.randomServerNode(rnd)
		n.backend.SetFaults(f)
		return func() { n.backend.SetFaults(backend.Faults{}) }
	}
}

// onStore sets faults of the platform's table and object store.
func onStore(f fakestore.Faults) func(*faultRun, *rand.Rand) func() {
	return func(fr *faultRun, _ *rand.Rand) func() {
		fr.cluster.store.SetFaults(f)
		return func() { fr.cluster.store.SetFaults(fakestore.Faults{}) }
	}
}

// randomServerNode returns a random node with a backend server.
func (fr *faultRun) randomServerNode(rnd *rand.Rand) *node {
	var out []*node
	for _, n := range fr.cluster.nodes {
		if n.backend != nil {
			out = append(out, n)
		}
	}
	return out[rnd.IntN(len(out))]
}

// reserve reserves a node for one fault that stops its daemon; false when
// another fault has reserved it.
func (fr *faultRun) reserve(n *node) bool {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.reserved[n] {
		return false
	}
	fr.reserved[n] = true
	return true
}

func (fr *faultRun) unreserve(n *node) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	delete(fr.reserved, n)
}

// drain stops a daemon as in a planned stop, under load, and starts it again.
// It records the calls that were cut off at the end of the drain, and whether
// the server still received calls later than maxWorkAfterLeave.
func (fr *faultRun) drain(rnd *rand.Rand) func() {
	n := fr.randomServerNode(rnd)
	if !fr.reserve(n) {
		return func() {}
	}
	began := time.Now()
	old := n.currentDaemon()
	old.Leave()
	return func() {
		<-old.Drained()
		fr.recordViolation(func(v *Violations) {
			v.CutByDrain += int(old.CutCalls())
			if last := n.backend.Ledger().Last(); last.Sub(began) > maxWorkAfterLeave {
				v.WorkAfterLeaving++
			}
		})
		old.Stop()
		fr.restart(n)
	}
}

// maxWorkAfterLeave is how long after Leave a server may still receive calls.
const maxWorkAfterLeave = time.Second

// kill stops a daemon while calls are in flight, and starts it again.
func (fr *faultRun) kill(rnd *rand.Rand) func() {
	n := fr.randomServerNode(rnd)
	if !fr.reserve(n) {
		return func() {}
	}
	n.currentDaemon().Stop()
	return func() { fr.restart(n) }
}

// replace stops a daemon and starts it again as a new VM with the same id. The
// VM is not on the platform's list in between.
func (fr *faultRun) replace(rnd *rand.Rand) func() {
	n := fr.randomServerNode(rnd)
	if !fr.reserve(n) {
		return func() {}
	}
	n.currentDaemon().Stop()
	fr.changeVMs(func() { n.unlisted = true })
	return func() {
		fr.changeVMs(func() {
			n.unlisted = false
			n.vm.Started++
		})
		fr.restart(n)
	}
}

// changeVMs applies a change to nodes and publishes the resulting list of VMs.
func (fr *faultRun) changeVMs(change func()) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	change()
	var vms []store.VM
	for _, n := range fr.cluster.nodes {
		if !n.unlisted {
			vms = append(vms, n.vm)
		}
	}
	fr.cluster.store.SetVMs(vms)
}

// restart starts the daemon of a stopped node and frees the node for other
// faults.
func (fr *faultRun) restart(n *node) {
	if err := fr.cluster.startDaemon(n); err != nil {
		fr.setError(err)
	}
	fr.unreserve(n)
}

// freeze holds all traffic over links from and to a daemon without closing
// connections. To the other daemons it looks like a paused process.
func (fr *faultRun) freeze(rnd *rand.Rand) func() {
	vm := fr.randomServerNode(rnd).vm.ID
	fr.cluster.network.hold(vm, "")
	fr.cluster.network.hold("", vm)
	return func() {
		fr.cluster.network.release(vm, "")
		fr.cluster.network.release("", vm)
	}
}

// randomDataCentres returns two different data centres.
func (fr *faultRun) randomDataCentres(rnd *rand.Rand) (a, b string) {
	all := fr.cluster.deployment.DataCentres
	i := rnd.IntN(len(all))
	return all[i], all[(i+1+rnd.IntN(len(all)-1))%len(all)]
}

// cutOneWay holds the traffic from one data centre to another; the opposite
// direction still works.
func (fr *faultRun) cutOneWay(rnd *rand.Rand) func() {
	a, b := fr.randomDataCentres(rnd)
	fr.cluster.network.hold(a, b)
	return func() { fr.cluster.network.release(a, b) }
}

// partitionDataCentres breaks all connections between two data centres.
func (fr *faultRun) partitionDataCentres(rnd *rand.Rand) func() {
	a, b := fr.randomDataCentres(rnd)
	fr.cluster.network.partition(a, b)
	return func() { fr.cluster.network.heal(a, b) }
}

// raceOperators lets two operators change the same kind at the same time,
// through two daemons, and restores it at the end.
func (fr *faultRun) raceOperators(rnd *rand.Rand) func() {
	s := &fr.cluster.deployment.Services[rnd.IntN(len(fr.cluster.deployment.Services))]
	k := s.Kinds[rnd.IntN(len(s.Kinds))].Placement
	done := make(chan struct{}, 2)
	for i := range 2 {
		n := fr.cluster.nodes[rnd.IntN(len(fr.cluster.nodes))]
		fewer := k
		fewer.DataCentres = k.DataCentres[:1+(len(k.DataCentres)+i-1)%len(k.DataCentres)]
		id := fmt.Sprintf("race-%d-%d", rnd.Uint64(), i)
		go func() {
			fr.apply(n, id, s.Name, fewer)
			done <- struct{}{}
		}()
	}
	return func() {
		<-done
		<-done
		// Wait until the new placement must be in force everywhere, so that a
		// later run in a forbidden data centre counts as a violation.
		time.Sleep(maxPlacementDelay + time.Second)
		fr.apply(fr.cluster.nodes[0], fmt.Sprintf("restore-%d", rnd.Uint64()), s.Name, k)
	}
}

// apply changes a kind through a daemon. An error does not show whether the
// store accepted the change: the report reads that from the store's history.
func (fr *faultRun) apply(n *node, id, service string, k placement.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := n.currentDaemon().Apply(ctx, id, "operator", []placement.Change{{Op: placement.PutKind, Service: service, Kind: k}})
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.races++
	if err != nil {
		fr.racesLost++
	}
}

// flapVMList omits a live VM from the platform's list for a while.
func (fr *faultRun) flapVMList(rnd *rand.Rand) func() {
	n := fr.randomServerNode(rnd)
	fr.changeVMs(func() { n.unlisted = true })
	return func() { fr.changeVMs(func() { n.unlisted = false }) }
}
