package bench

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/standin/backend"
)

// startShape starts the changes of the deployment's shape. The returned
// function ends them and puts all servers right.
func startShape(c *cluster) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	run := func(do func(<-chan struct{})) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			do(done)
		}()
	}
	shape := &c.deployment.Shape
	if shape.Slow != nil {
		run(func(done <-chan struct{}) { slowInTurn(c.backends(shape.Slow.Service), shape.Slow, done) })
	}
	if shape.FailFast != nil {
		run(func(done <-chan struct{}) {
			trouble(c.backends(shape.FailFast.Service)[0], shape.FailFast, backend.Faults{FailFast: true}, done)
		})
	}
	if shape.Cold != nil {
		run(func(done <-chan struct{}) {
			trouble(c.backends(shape.Cold.Service)[0], shape.Cold, backend.Faults{Speed: 1 / shape.Cold.Factor}, done)
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

func (c *cluster) backends(service string) []*backend.Backend {
	var out []*backend.Backend
	for _, n := range c.nodes {
		if n.backend != nil && (service == "" || n.vm.Service == service) {
			out = append(out, n.backend)
		}
	}
	return out
}

// slowInTurn slows one server after the other.
func slowInTurn(servers []*backend.Backend, s *Slowdown, done <-chan struct{}) {
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

func trouble(b *backend.Backend, t *ServerFault, f backend.Faults, done <-chan struct{}) {
	if !pause(t.At, done) {
		return
	}
	b.SetFaults(f)
	if t.For > 0 && pause(t.For, done) {
		b.SetFaults(backend.Faults{})
	}
}

func pause(d time.Duration, done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}
