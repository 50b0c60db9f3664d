package choose

import (
	"time"

	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/tables"
)

// maxStampAge is the age up to which a stamp (wire.Stamp, a gate's report of its load)
// predicts whether the gate would refuse a request now. It is shorter than a slow period
// (some 300 ms) and a run (some 100 ms), so most gates would still answer the same.
// Skipping a gate that would refuse saves bytes, and a request that finds all gates full
// is refused without a round trip.
const maxStampAge = 60 * time.Millisecond

// wouldRefuse reports whether a recent stamp shows that the gate would refuse the
// request, by the rules of gate.Gate.Admit.
func (r *RoutedRequest) wouldRefuse(load *tables.LoadSnapshot, link *linkTimes, sameDataCentre bool) bool {
	if r.startsTooLate(load) {
		return true
	}
	if load.StampReceivedAt == 0 || r.Now-load.StampReceivedAt > int64(maxStampAge) {
		return false
	}
	if r.Soft && r.wouldRefuseSoft(load, sameDataCentre) {
		return true
	}
	if r.Soft && !link.isSlow() {
		return false
	}
	if r.TimeToTarget <= 0 || link.delay+r.neededTime(load, link) <= float64(r.TimeToTarget) {
		return false
	}
	inFlight := load.InFlight + load.SentSinceStamp
	acceptsLate := gate.AcceptsLateRuns(inFlight, load.Limit) && float64(r.TimeToDeadline) > link.delay+link.transfer+r.expectedRunTime(load)
	return !acceptsLate
}

// startsTooLate reports whether a gate refuses the request because of the rate limit of its
// backend server: it refuses soft attempts that it cannot start at once, and others that would
// end too late.
func (r *RoutedRequest) startsTooLate(load *tables.LoadSnapshot) bool {
	wait := load.StartWait(r.Now)
	if wait == 0 || r.Soft {
		return wait > 0
	}
	return r.TimeToTarget > 0 && float64(wait)+gate.RunTimeMargin*r.expectedRunTime(load) > float64(r.TimeToTarget)
}

// wouldRefuseSoft is wouldRefuse for a soft attempt. A gate refuses it if its backend
// server is slowed or its usable slots are taken. An attempt from the same data centre may
// wait while fewer requests run or wait than the backend server has slots.
func (r *RoutedRequest) wouldRefuseSoft(load *tables.LoadSnapshot, sameDataCentre bool) bool {
	if speed.FromPercent(load.Slowdown) > r.SoftSlowdown*max(speed.FromPercent(load.NormalSlowdown), 1) {
		return true
	}
	maxInFlight := float64(load.Limit)
	if sameDataCentre && r.UsableShare > 0 {
		maxInFlight /= r.UsableShare
	}
	return float64(load.InFlight+load.SentSinceStamp) >= maxInFlight
}

// expectedRunTime returns the run time at the slowdown of the stamp, in nanoseconds.
func (r *RoutedRequest) expectedRunTime(load *tables.LoadSnapshot) float64 {
	return float64(r.Work) * max(speed.FromPercent(load.Slowdown), 1)
}

// neededTime returns the time that the request must have left to be admitted by the
// gate, in nanoseconds. Where no slot is free it includes the queueing time and a margin
// for the spread of run times. The body arrives while the request waits for a slot.
func (r *RoutedRequest) neededTime(load *tables.LoadSnapshot, link *linkTimes) float64 {
	return r.timeAtGate(load, link, gate.RunTimeMargin)
}

// timeAtGate returns the time from the arrival of the request at the gate to the end of its
// run, in nanoseconds. margin is a factor on run times where no slot is free.
func (r *RoutedRequest) timeAtGate(load *tables.LoadSnapshot, link *linkTimes, margin float64) float64 {
	queuedAhead := load.InFlight + load.SentSinceStamp - load.Limit + 1
	if queuedAhead <= 0 {
		return link.transfer + r.expectedRunTime(load)
	}
	runTime := margin * r.expectedRunTime(load)
	return runTime + max(runTime*float64(queuedAhead)/float64(load.Limit), link.transfer)
}
