package runner

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/quarantine"
)

const (
	// othersBreakWithin is how long after the first one the connections of other runs
	// may still seem whole when the process behind them has ended. On one VM the
	// system closes them all at once; what takes time is to read that of each.
	othersBreakWithin = 30 * time.Millisecond
	othersBreakEvery  = 2 * time.Millisecond
	// mostLogged bounds the runs that the line of a crash names.
	mostLogged = 16
)

// crashes tells runs that broke off because the backend server's process ended from
// those that it broke off itself: then new connections are refused, and no other run
// goes on. A backend server that is full refuses connections, too, while others run.
type crashes struct {
	owner *Runner

	mu sync.Mutex
	// broken are the runs that the look under way is about; look is nil without one.
	broken []*routedRun
	look   *crashLook
}

// crashLook is one look at whether the process has ended.
type crashLook struct {
	done  chan struct{}
	ended bool
}

// endedUnder is true for a run that broke off because the backend server's process
// ended. It waits for that to be known: less than a millisecond while the process is
// there.
func (c *crashes) endedUnder(run *routedRun, reply *backend.Reply) bool {
	if reply.Refusal == nil || reply.Refusal.Kind != errkind.BackendFailed {
		return false
	}
	c.mu.Lock()
	c.broken = append(c.broken, run)
	if c.look == nil {
		c.look = &crashLook{done: make(chan struct{})}
		go c.run(c.look)
	}
	look := c.look
	c.mu.Unlock()
	<-look.done
	return look.ended
}

func (c *crashes) run(look *crashLook) {
	look.ended = c.processEnded()
	c.mu.Lock()
	runs := c.broken
	c.broken, c.look = nil, nil
	c.mu.Unlock()
	if look.ended {
		c.tell(runs)
	}
	close(look.done)
}

// tell lets all daemons know what ran, before the runs' ends are told: their entries may
// send them to other backend servers.
func (c *crashes) tell(runs []*routedRun) {
	r := c.owner
	contents := make([]quarantine.Fingerprint, 0, len(runs))
	for _, run := range runs {
		contents = append(contents, run.call.Fingerprint(run.body))
	}
	r.crashed.Inc()
	r.Quarantine.Crashed(r.Now(), rand.Uint64(), contents)
	c.log(runs, contents)
	instance, _ := r.lifecycle.Current()
	r.lifecycle.Ended(instance)
}

// processEnded asks the address, and then waits for the other runs. One that said that
// it leaves has ended as planned.
func (c *crashes) processEnded() bool {
	r := c.owner
	if _, state := r.lifecycle.Current(); state == backend.Leaving {
		return false
	}
	if !r.transport.RefusesConnections(context.Background()) {
		return false
	}
	for waited := time.Duration(0); waited < othersBreakWithin; waited += othersBreakEvery {
		if c.allBroke() {
			return true
		}
		time.Sleep(othersBreakEvery)
	}
	return false
}

func (c *crashes) allBroke() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.broken) >= c.owner.runs.count()
}

// log names what ran when the process ended: the request that ended it is among them.
func (c *crashes) log(runs []*routedRun, contents []quarantine.Fingerprint) {
	r := c.owner
	if !r.Log.Wants(events.BackendEnded) {
		return
	}
	parts := make([]string, 0, mostLogged)
	for i := range min(len(runs), mostLogged) {
		parts = append(parts, runs[i].call.Routed.ID+"="+contents[i].String())
	}
	instance, _ := r.lifecycle.Current()
	r.Log.Event(events.BackendEnded, events.F("instance", instance), events.F("runs", len(runs)), events.F("contents", strings.Join(parts, " ")))
}
