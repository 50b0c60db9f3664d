package bench

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/standin/backend"
)

// startShape starts the changes of Deployment.Shape. stop ends them and clears
// the faults of all servers.
func startShape(c *cluster) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	run := func(change func(<-chan struct{})) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			change(done)
		}()
	}
	shape := &c.deployment.Shape
	if shape.Slow != nil {
		run(func(done <-chan struct{}) { slowServers(c.backends(shape.Slow.Service), shape.Slow, done) })
	}
	if shape.FailFast != nil {
		run(func(done <-chan struct{}) {
			applyServerFault(c.backends(shape.FailFast.Service)[0], shape.FailFast, backend.Faults{FailFast: true}, done)
		})
	}
	if shape.Cold != nil {
		run(func(done <-chan struct{}) {
			applyServerFault(c.backends(shape.Cold.Service)[0], shape.Cold, backend.Faults{Speed: 1 / shape.Cold.Factor}, done)
		})
	}
	return func() {
		close(done)
		wait.Wait()
		for _, n := range c.nodes {
			if n.backend != nil {
				n.backend.SetFaults(backend.Faults{})
			}
		}
	}
}

// backends returns the backend servers of a service; of all services when it is
// empty.
func (c *cluster) backends(service string) []*backend.Backend {
	var out []*backend.Backend
	for _, n := range c.nodes {
		if n.backend != nil && (service == "" || n.vm.Service == service) {
			out = append(out, n.backend)
		}
	}
	return out
}

// slowServers slows one server at a time until done is closed.
func slowServers(servers []*backend.Backend, s *Slowdown, done <-chan struct{}) {
	for turn := 0; ; turn++ {
		at := 0
		if s.InTurn {
			at = turn % len(servers)
		}
		servers[at].SetSpeed(1 / s.Factor)
		if !pause(s.For, done) {
			return
		}
		servers[at].SetSpeed(1)
		if !pause(max(s.Every-s.For, 0), done) {
			return
		}
	}
}

// applyServerFault sets faults f of a server at the time of the ServerFault,
// and clears them at its end.
func applyServerFault(b *backend.Backend, t *ServerFault, f backend.Faults, done <-chan struct{}) {
	if !pause(t.At, done) {
		return
	}
	b.SetFaults(f)
	if t.For > 0 && pause(t.For, done) {
		b.SetFaults(backend.Faults{})
	}
}

// pause waits for d. It returns false when done is closed first.
func pause(d time.Duration, done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}
