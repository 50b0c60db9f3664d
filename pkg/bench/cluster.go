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

// node is one VM of an embedded deployment.
type node struct {
	vm      store.VM
	address loopback.VM
	// daemon changes when a fault restarts it; current reads it.
	mu     sync.Mutex
	daemon *daemon.Daemon
	// unlisted leaves the VM out of the platform's list.
	unlisted bool
	// backend is nil for an entry only.
	backend     *backend.Backend
	stopBackend func()
}

// cluster is an embedded deployment.
type cluster struct {
	clock      *precise.Clock
	deployment *Deployment
	network    *network
	store      *fakestore.Store
	nodes      []*node
	addresses  loopback.Allocator
	// ends finds the VM behind a links address.
	ends map[string]end
	// faulty is true when connections may meet faults.
	faulty bool
	// change adapts the settings of each daemon.
	change func(*settings.Settings)
	policy func(*cluster) choose.Policy
}

// clusterOptions adapt a cluster.
type clusterOptions struct {
	change func(*settings.Settings)
	// policy makes each daemon's policy; nil takes the one in the settings.
	policy func(*cluster) choose.Policy
	// faulty lets the network's faults befall all connections of daemons.
	faulty bool
}

// startCluster starts the stand-ins and the daemons, and waits until all are
// ready.
func startCluster(d *Deployment, opts clusterOptions) (*cluster, error) {
	c := &cluster{
		clock:      precise.NewClock(),
		deployment: d, store: fakestore.New(), ends: map[string]end{}, network: newNetwork(),
		change: opts.change, policy: opts.policy, faulty: opts.faulty,
	}
	if err := c.applyPlacement(); err != nil {
		return nil, err
	}
	if err := c.plan(); err != nil {
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

func (c *cluster) applyPlacement() error {
	doc := c.deployment.Document()
	_, err := placement.NewStore(c.store, c.store).Commit(context.Background(), placement.Proposal{
		Base: &placement.Document{}, ChangeID: "first", Author: "bench",
		Changes: placement.Diff(&placement.Document{}, doc), At: time.Now(),
	})
	return errors.Wrap(err, "first placement")
}

// plan lays out the VMs: workers of each service over its data centres in turn.
func (c *cluster) plan() error {
	for i := range c.deployment.Services {
		s := &c.deployment.Services[i]
		where := s.DataCentres
		if len(where) == 0 {
			where = c.deployment.DataCentres
		}
		for w := range s.Workers {
			if err := c.addNode(fmt.Sprintf("%s-%d", s.Name, w+1), s.Name, where[w%len(where)]); err != nil {
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

func (c *cluster) addNode(id, service, dataCentre string) error {
	address := c.addresses.Next()
	n := &node{address: address, vm: store.VM{
		ID: id, Region: "bench", DataCentre: dataCentre, Service: service, State: store.VMLive,
		Links: address.Address(loopback.PortLinks), Callers: address.Address(loopback.PortCallers),
		Slots: c.deployment.Slots, Started: 1,
	}}
	c.ends[n.vm.Links] = end{vm: id, dataCentre: dataCentre}
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
	if c.change != nil {
		c.change(&s)
	}
	return &s
}

func (c *cluster) startDaemon(n *node) error {
	opts := daemon.Options{Platform: c.store, Dial: c.dialer(end{vm: n.vm.ID, dataCentre: n.vm.DataCentre})}
	if c.policy != nil {
		opts.Policy = c.policy(c)
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

// current is the daemon that runs on the node now, or ran last.
func (n *node) current() *daemon.Daemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.daemon
}

func (c *cluster) endOf(address string) end { return c.ends[address] }

const readyBound = 30 * time.Second

func (c *cluster) waitReady() error {
	return waitFor(readyBound, "all daemons to be ready", func() bool {
		for _, n := range c.nodes {
			view := n.daemon.World.View
			if !view.Ready() || view.Placement() == nil || view.Placement().Version == 0 || view.MemberCount() < len(c.nodes) {
				return false
			}
		}
		return true
	})
}

func waitFor(bound time.Duration, what string, ready func() bool) error {
	const poll = 2 * time.Millisecond
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(poll) {
		if ready() {
			return nil
		}
	}
	return errors.Errorf("waited %v in vain for %s", bound, what)
}

// stop ends all nodes at once: each waits a little for its listeners.
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
	if d := n.current(); d != nil {
		d.Stop()
	}
	if n.stopBackend != nil {
		n.stopBackend()
	}
}

// entriesFor returns the nodes where callers from outside may enter with a kind.
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
