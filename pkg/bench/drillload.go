package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// drillRate thins the deployment's load, so that faults, not the machine,
	// are what calls meet.
	drillRate = 0.25
	// neverRepeatRate raises that of never-repeat kinds, which faults are about.
	neverRepeatRate = 2
	// callerRetries is how often a caller sends a never-repeat call again, with
	// the same key, after it got no answer.
	callerRetries = 3
	callerPause   = 60 * time.Millisecond
	// hurry is the time that half of the never-repeat calls allow: less than
	// most faults last, so that entries give up on executors that go on.
	hurry = 250 * time.Millisecond
)

// startLoad sends calls until stop is called.
func (dr *drill) startLoad(seed uint64) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	for si := range dr.cluster.deployment.Services {
		s := &dr.cluster.deployment.Services[si]
		for ki := range s.Kinds {
			wait.Add(1)
			go func() {
				defer wait.Done()
				dr.loadKind(s, &s.Kinds[ki], rand.New(rand.NewPCG(seed, uint64(100*si+ki))), done)
			}()
		}
	}
	return func() {
		close(done)
		wait.Wait()
	}
}

func (dr *drill) loadKind(s *Service, k *Kind, rnd *rand.Rand, done <-chan struct{}) {
	rate := dr.cluster.deployment.callsPerSecond(s, k) * drillRate
	if k.Placement.NeverRepeat {
		rate *= neverRepeatRate / drillRate
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; pause(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), done); i++ {
		a := newArrival(0, s, k, rnd)
		a.id = fmt.Sprintf("%s-%s-%d", s.Name, k.Placement.Name, i)
		if k.Placement.NeverRepeat {
			a.key = "key-" + a.id
			if i%2 == 0 {
				hurried := *k
				hurried.Timeout = hurry
				a.kind = &hurried
			}
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			dr.sendUntilAnswered(a)
		}()
	}
}

// sendUntilAnswered sends a call, and a never-repeat one again with its key
// when there was no answer, through another daemon. Each attempt has an id of
// its own in the ledgers, and the same key, path and body.
func (dr *drill) sendUntilAnswered(a arrival) {
	for attempt := range 1 + callerRetries {
		this := a
		this.attempt = attempt
		entries := dr.cluster.entriesFor(&a.kind.Placement)
		to := entries[(a.entry+uint64(attempt))%uint64(len(entries))]
		o := dr.sender.send(&this, to, to.vm.Callers, time.Now())
		dr.keep(o)
		if o.answered() || a.key == "" {
			return
		}
		time.Sleep(callerPause)
	}
}

func (dr *drill) keep(o outcome) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.outcomes = append(dr.outcomes, o)
}
