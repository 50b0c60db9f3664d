package forward

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/wire"
)

// ackRunner is the link to an executor that acknowledges and ends calls after given times.
type ackRunner struct {
	// ackAfter and endAfter may be never. A call is also acknowledged when it ends.
	ackAfter, endAfter time.Duration
	result             call.Result
	// oldRelease is true for an executor that does not acknowledge calls.
	oldRelease bool
	times      acks.Link

	mu        sync.Mutex
	calls     []wire.Call
	cancelled int
	asked     int
}

func (r *ackRunner) Acknowledges() bool         { return !r.oldRelease }
func (r *ackRunner) AckTimes() *acks.Link       { return &r.times }
func (r *ackRunner) AckEstimate() acks.Estimate { return r.times.Estimate(testPing) }

func (r *ackRunner) Execute(c *wire.Call, _ []byte, done func(call.Result)) (cancel func()) {
	return r.run(c, func() {}, done)
}

func (r *ackRunner) ExecuteAcknowledged(c *wire.Call, _ []byte, acknowledged func(), done func(call.Result)) (cancel func()) {
	r.mu.Lock()
	r.asked++
	r.mu.Unlock()
	return r.run(c, acknowledged, done)
}

func (r *ackRunner) run(c *wire.Call, acknowledged func(), done func(call.Result)) (cancel func()) {
	r.mu.Lock()
	r.calls = append(r.calls, *c)
	r.mu.Unlock()
	once := sync.OnceFunc(acknowledged)
	if r.ackAfter != never {
		time.AfterFunc(r.ackAfter, once)
	}
	if r.endAfter != never {
		time.AfterFunc(r.endAfter, func() {
			once()
			done(r.result)
		})
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cancelled++
	}
}

// answered is an answer with a status.
func answered(status int) call.Result {
	return call.Result{Answer: &call.Answer{Status: status, Body: []byte("x")}, Offered: true}
}

// zeroRandom makes a choice among equal candidates take the first one.
type zeroRandom struct{}

func (zeroRandom) IntN(int) int     { return 0 }
func (zeroRandom) Float64() float64 { return 0 }

// newAckForwarder returns a forwarder whose routes are called by services. Of backend
// servers with the same load, it prefers the first.
func newAckForwarder(runners ...call.Runner) *Forwarder {
	f := newForwarder(make([]*fakeRunner, len(runners))...)
	for i, candidate := range f.view.Service("s").Match("GET", "/").LinkedCandidates {
		candidate.Endpoint.VM = string(rune('a' + i))
		candidate.Endpoint.SetRunner(runners[i])
	}
	f.random = zeroRandom{}
	for _, route := range []string{"read", "post"} {
		f.calledRoutes.record(route, wire.OriginService)
	}
	return f
}

// spent returns how many retries were taken from the budget of service s, which was full.
func spent(f *Forwarder) float64 {
	budget := f.budgets.forService("s")
	return float64(f.Settings.Routing.RetrySlack) - budget.balance()
}
