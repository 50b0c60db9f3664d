package executor

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/wire"
)

var _ call.Offerer = (*Executor)(nil)

// offeredRun is a call that holds a place at the gate while its body is on the way.
type offeredRun struct{ *run }

// Offer implements call.Offerer.
func (e *Executor) Offer(c *wire.Call, transfer time.Duration, done func(call.Result)) call.Offered {
	r := e.newRun(c, done)
	if refusal := r.setJob(); refusal != nil {
		r.refuse(refusal)
		return nil
	}
	if refusal := e.gate.Reserve(e.Now(), &r.job, transfer); refusal != nil {
		r.refuse(refusal)
		return nil
	}
	offered := offeredRun{r}
	if e.leaving.Load() {
		// Leave may have released the places just before this one was reserved.
		offered.Withdraw(errLeaving())
		return nil
	}
	return offered
}

// Rank implements call.Offered.
func (o offeredRun) Rank() uint16 {
	switch o.kind.Class {
	case placement.Urgent:
		return 0
	case placement.Background:
		return 2
	}
	return 1
}

// StartBy implements call.Offered.
func (o offeredRun) StartBy() int64 { return o.job.StartBy() }

// Start implements call.Offered.
func (o offeredRun) Start(body []byte) (cancel func()) {
	o.body = body
	o.passToGate()
	return o.cancel
}

// Withdraw implements call.Offered.
func (o offeredRun) Withdraw(refusal *errkind.Error) {
	if o.executor.gate.Release(&o.job) {
		o.refuse(refusal)
	}
}

// releasePlaces refuses the calls whose bodies are on the way.
func (e *Executor) releasePlaces() {
	for _, job := range e.gate.ReleasePlaces() {
		job.RefuseDrained(errLeaving())
	}
}

// RefuseWaiting refuses the calls that wait at the gate, since the daemon stops before they could
// run.
func (e *Executor) RefuseWaiting() {
	for _, job := range e.gate.DrainQueue() {
		job.RefuseDrained(errLeaving())
	}
}

func errLeaving() *errkind.Error { return errkind.New(errkind.Leaving, "the executor is leaving") }
