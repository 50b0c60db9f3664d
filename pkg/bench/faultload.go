package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// faultLoadFactor reduces the deployment's load, so that calls fail because
	// of the faults and not because the machine is overloaded.
	faultLoadFactor = 0.25
	// neverRepeatLoadFactor raises the load of never-repeat kinds, which are
	// the ones that faults endanger most.
	neverRepeatLoadFactor = 2
	// callerRetries is the maximum number of times that a caller sends a
	// never-repeat call again, with the same key, after it got no answer.
	callerRetries = 3
	// callerRetryDelay is the pause before each retry.
	callerRetryDelay = 60 * time.Millisecond
	// shortCallTimeout is the timeout of half of the never-repeat calls. It is
	// shorter than most faults, so that entries give up while executors still
	// run the call.
	shortCallTimeout = 250 * time.Millisecond
)

// startLoad sends calls of all kinds until stop is called.
func (fr *faultRun) startLoad(seed uint64) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	for si := range fr.cluster.deployment.Services {
		s := &fr.cluster.deployment.Services[si]
		for ki := range s.Kinds {
			wait.Add(1)
			go func() {
				defer wait.Done()
				fr.sendKind(s, &s.Kinds[ki], rand.New(rand.NewPCG(seed, uint64(100*si+ki))), done)
			}()
		}
	}
	return func() {
		close(done)
		wait.Wait()
	}
}

// sendKind sends calls of one kind at random intervals until done is closed,
// and waits for their answers.
func (fr *faultRun) sendKind(s *Service, k *Kind, rnd *rand.Rand, done <-chan struct{}) {
	rate := fr.cluster.deployment.callsPerSecond(s, k) * faultLoadFactor
	if k.Placement.NeverRepeat {
		rate *= neverRepeatLoadFactor / faultLoadFactor
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; pause(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), done); i++ {
		a := newArrival(0, s, k, rnd)
		a.id = fmt.Sprintf("%s-%s-%d", s.Name, k.Placement.Name, i)
		if k.Placement.NeverRepeat {
			a.key = "key-" + a.id
			if i%2 == 0 {
				shortKind := *k
				shortKind.Timeout = shortCallTimeout
				a.kind = &shortKind
			}
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			fr.sendUntilAnswered(a)
		}()
	}
}

// sendUntilAnswered sends a call. A never-repeat call without an answer is sent
// again through another daemon. Each attempt has the same key, path and body,
// and an id of its own in the ledgers.
func (fr *faultRun) sendUntilAnswered(a arrival) {
	for attempt := range 1 + callerRetries {
		attemptCall := a
		attemptCall.attempt = attempt
		entries := fr.cluster.entriesFor(&a.kind.Placement)
		to := entries[(a.entryDraw+uint64(attempt))%uint64(len(entries))]
		o := fr.sender.send(&attemptCall, to, to.vm.Callers, time.Now())
		fr.addOutcome(o)
		if o.answered() || a.key == "" {
			return
		}
		time.Sleep(callerRetryDelay)
	}
}

func (fr *faultRun) addOutcome(o outcome) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.outcomes = append(fr.outcomes, o)
}
