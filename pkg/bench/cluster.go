package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/bench/precise"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/daemon"
	"github.com/rushramp/rushramp/pkg/loopback"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
)

// node is one VM of a cluster, with its daemon and its backend server.
type node struct {
	vm      store.VM
	address loopback.VM
	// mu protects daemon, which a restart by a fault replaces.
	mu     sync.Mutex
	daemon *daemon.Daemon
	// unlisted omits the VM from the platform's list.
	unlisted bool
	// backend is nil on a VM that only receives calls.
	backend     *backend.Backend
	stopBackend func()
}

// cluster is a deployment that runs inside this process.
type cluster struct {
	clock      *precise.Clock
	deployment *Deployment
	network    *network
	store      *fakestore.Store
	nodes      []*node
	addresses  loopback.Allocator
	// endpoints maps a VM's links address to the VM.
	endpoints map[string]endpoint
	// injectFaults subjects the connections between daemons to the faults of
	// network.
	injectFaults bool
	// adaptSettings changes the settings of each daemon; may be nil.
	adaptSettings func(*settings.Settings)
	// newPolicy makes the policy of each daemon; nil uses the one in the
	// settings.
	newPolicy func(*cluster) choose.Policy
}

// clusterOptions adapts a cluster.
type clusterOptions struct {
	// adaptSettings changes the settings of each daemon; may be nil.
	adaptSettings func(*settings.Settings)
	// newPolicy makes the policy of each daemon; nil uses the one in the
	// settings.
	newPolicy func(*cluster) choose.Policy
	// injectFaults subjects the connections between daemons to the faults of
	// network.
	injectFaults bool
}

// startCluster starts the stand-ins and the daemons, and waits until all
// daemons are ready.
func startCluster(d *Deployment, opts clusterOptions) (*cluster, error) {
	c := &cluster{
		clock:      precise.NewClock(),
		deployment: d, store: fakestore.New(), endpoints: map[string]endpoint{}, network: newNetwork(),
		adaptSettings: opts.adaptSettings, newPolicy: opts.newPolicy, injectFaults: opts.injectFaults,
	}
	if err := c.applyPlacement(); err != nil {
		return nil, err
	}
	if err := c.addNodes(); err != nil {
		c.stop()
		return nil, err
	}
	c.publishVMs()
	for _, n := range c.nodes {
		if err := c.startDaemon(n); err != nil {
			c.stop()
			return nil, err
		}
	}
	if err := c.waitReady(); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// applyPlacement stores the deployment's placement as the first version.
func (c *cluster) applyPlacement() error {
	doc := c.deployment.Document()
	_, err := placement.NewStore(c.store, c.store).Commit(context.Background(), placement.Proposal{
		Base: &placement.Document{}, ChangeID: "first", Author: "bench",
		Changes: placement.Diff(&placement.Document{}, doc), At: time.Now(),
	})
	return errors.Wrap(err, "apply the initial placement")
}

// addNodes creates the VMs of all services and the extra entries, placed in
// their data centres in turn.
func (c *cluster) addNodes() error {
	for i := range c.deployment.Services {
		s := &c.deployment.Services[i]
		dataCentres := s.DataCentres
		if len(dataCentres) == 0 {
			dataCentres = c.deployment.DataCentres
		}
		for w := range s.Workers {
			if err := c.addNode(fmt.Sprintf("%s-%d", s.Name, w+1), s.Name, dataCentres[w%len(dataCentres)]); err != nil {
				return err
			}
		}
	}
	for i := range c.deployment.ExtraEntries {
		dc := c.deployment.DataCentres[i%len(c.deployment.DataCentres)]
		if err := c.addNode(fmt.Sprintf("entry-%d", i+1), "", dc); err != nil {
			return err
		}
	}
	return nil
}

// addNode creates a VM and starts its backend server; an empty service means
// that it has none.
func (c *cluster) addNode(id, service, dataCentre string) error {
	address := c.addresses.Next()
	n := &node{address: address, vm: store.VM{
		ID: id, Region: "bench", DataCentre: dataCentre, Service: service, State: store.VMLive,
		Links: address.Address(loopback.PortLinks), Callers: address.Address(loopback.PortCallers),
		Slots: c.deployment.Slots, Started: 1,
	}}
	c.endpoints[n.vm.Links] = endpoint{vm: id, dataCentre: dataCentre}
	c.nodes = append(c.nodes, n)
	if service == "" {
		return nil
	}
	n.backend = backend.New(backend.Options{Slots: c.deployment.Slots, After: c.clock.After})
	stop, err := backend.Serve(n.backend, address.Address(loopback.PortBackend))
	n.stopBackend = stop
	return err
}

func (c *cluster) publishVMs() {
	var vms []store.VM
	for _, n := range c.nodes {
		vms = append(vms, n.vm)
	}
	c.store.SetVMs(vms)
}

func (c *cluster) settingsOf(n *node) *settings.Settings {
	s := settings.Default()
	s.VM = settings.VM{ID: n.vm.ID, Region: n.vm.Region, DataCentre: n.vm.DataCentre}
	s.Listen = settings.Listen{
		Callers: n.address.Address(loopback.PortCallers), Links: n.address.Address(loopback.PortLinks),
		Operators: n.address.Address(loopback.PortOperators), Metrics: n.address.Address(loopback.PortMetrics),
	}
	if n.backend != nil {
		s.BackendServer.Service = n.vm.Service
		s.BackendServer.Address = n.address.Address(loopback.PortBackend)
		s.BackendServer.CancelPath = backend.PathCancel
	}
	s.BackendServer.Slots = c.deployment.Slots
	s.BackendServer.Connections = c.deployment.Connections
	s.Limits.CallsPerCaller = 1 << 20
	scale := time.Duration(c.deployment.TimeScale)
	s.Choosing.StampHalfLife *= scale
	s.Gate.QueueTime *= scale
	s.Retries.DefaultTimeout *= scale
	if c.adaptSettings != nil {
		c.adaptSettings(&s)
	}
	return &s
}

func (c *cluster) startDaemon(n *node) error {
	opts := daemon.Options{Platform: c.store, Dial: c.dialer(endpoint{vm: n.vm.ID, dataCentre: n.vm.DataCentre})}
	if c.newPolicy != nil {
		opts.Policy = c.newPolicy(c)
	}
	d, err := daemon.New(c.settingsOf(n), opts)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.daemon = d
	n.mu.Unlock()
	return d.Start()
}

// currentDaemon returns the daemon that runs on the node, or ran there last.
func (n *node) currentDaemon() *daemon.Daemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.daemon
}

func (c *cluster) endpointOf(address string) endpoint { return c.endpoints[address] }

// readyTimeout limits each wait for all daemons to reach a state.
const readyTimeout = 30 * time.Second

func (c *cluster) waitReady() error {
	return waitFor(readyTimeout, "all daemons to be ready", func() bool {
		for _, n := range c.nodes {
			view := n.daemon.World.View
			if !view.Ready() || view.Placement() == nil || view.Placement().Version == 0 || view.MemberCount() < len(c.nodes) {
				return false
			}
		}
		return true
	})
}

// waitFor polls until ready returns true. After the timeout it returns an error
// that contains what, a description of the awaited state.
func waitFor(timeout time.Duration, what string, ready func() bool) error {
	const poll = 2 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(poll) {
		if ready() {
			return nil
		}
	}
	return errors.Errorf("timed out after %v waiting for %s", timeout, what)
}

// stop stops all nodes in parallel, because each takes a moment to close its
// listeners.
func (c *cluster) stop() {
	var wait sync.WaitGroup
	for _, n := range c.nodes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n.stop()
		}()
	}
	wait.Wait()
	c.clock.Stop()
}

func (n *node) stop() {
	if d := n.currentDaemon(); d != nil {
		d.Stop()
	}
	if n.stopBackend != nil {
		n.stopBackend()
	}
}

// entriesFor returns the nodes at which outside callers may send calls of a
// kind.
func (c *cluster) entriesFor(k *placement.Kind) []*node {
	var out []*node
	for _, n := range c.nodes {
		if c.deployment.EnterAtEntries && n.backend != nil {
			continue
		}
		for _, dc := range k.DataCentres {
			if n.vm.DataCentre == dc {
				out = append(out, n)
			}
		}
	}
	return out
}
