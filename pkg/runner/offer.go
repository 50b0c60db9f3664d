package runner

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

var _ call.Offerer = (*Runner)(nil)

// offeredRun is a request that holds a place at the gate while its body is on the way.
type offeredRun struct{ *routedRun }

// Offer implements call.Offerer. The quarantine check needs the body, so Start makes it.
func (r *Runner) Offer(c *wire.Call, transfer time.Duration, done func(call.Result)) call.Offered {
	run := r.newRun(c, done)
	refusal := r.checkHead(c)
	if refusal == nil {
		_, refusal = r.acceptingIncarnation()
	}
	if refusal != nil {
		run.refuse(refusal)
		return nil
	}
	run.setJob()
	if refusal := r.gate.Reserve(r.Now(), &run.job, transfer); refusal != nil {
		run.refuse(refusal)
		return nil
	}
	if r.leaving.Load() {
		// StopAccepting may have released the places just before this one was reserved.
		run.withdraw(errkind.Leaving, "the daemon is leaving")
		return nil
	}
	return offeredRun{run}
}

// Rank implements call.Offered.
func (o offeredRun) Rank() uint16 { return o.job.Rank }

// StartBy implements call.Offered.
func (o offeredRun) StartBy() int64 { return o.job.StartBy() }

// Start implements call.Offered. It repeats the check of the placement, which may have
// changed while the body was on the way.
func (o offeredRun) Start(body []byte) (cancel func()) {
	run, r := o.routedRun, o.runner
	run.body = body
	refusal := r.placementRefusal(run.call)
	if refusal == nil {
		refusal = r.quarantineRefusal(run.call, body)
	}
	if refusal != nil {
		o.Withdraw(refusal)
		return func() {}
	}
	run.passToGate()
	return run.cancel
}

// Withdraw implements call.Offered.
func (o offeredRun) Withdraw(refusal *errkind.Error) {
	if o.runner.gate.Release(&o.job) {
		o.refuse(refusal)
	}
}

// releasePlaces refuses the requests whose bodies are on the way.
func (r *Runner) releasePlaces(reason *errkind.Error) {
	for _, job := range r.gate.ReleasePlaces() {
		job.RefuseDrained(reason)
	}
}
