package forward

import (
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/utils"
)

// crossingTotals sums up, for the log, what the attempts of a request moved between data
// centres, and what they kept near.
type crossingTotals struct {
	// crossedBytes are the bytes that crossed, for cause.
	crossedBytes int
	cause        choose.Crossing
	// keptBytes are the bytes of the attempt that queued nearer and was answered.
	keptBytes int
	// refusedNearer counts the attempts of a request with a large body that queued nearer and
	// were not answered.
	refusedNearer int
	// queuedNearer is true once an attempt queued nearer instead of crossing.
	queuedNearer bool
}

// recordCrossing counts the bytes of an attempt that crossed to another data centre, or that
// queued nearer instead.
func (a *attempts) recordCrossing(record *attemptRecord, result *call.Result) {
	bytes := a.bytesMoved(result)
	if record.crossing == choose.QueuesNearer {
		a.crossings.queuedNearer = true
		outcome := "refused"
		if result.Answer != nil {
			outcome = "answered"
			a.crossings.keptBytes += bytes
			a.forwarder.Metrics.GetOrCreateCounter(`rushramp_kept_near_bytes_total{service="` + utils.Label(a.service) + `"}`).Add(bytes)
		}
		if result.Answer == nil && a.hasLargeBody() {
			a.crossings.refusedNearer++
		}
		a.forwarder.Metrics.GetOrCreateCounter(`rushramp_kept_near_total{service="` + utils.Label(a.service) + `",outcome="` + outcome + `"}`).Inc()
	}
	if record.proximity == proximity.SameDataCentre {
		return
	}
	a.crossings.crossedBytes += bytes
	a.crossings.cause = record.crossing
	a.forwarder.Metrics.GetOrCreateCounter(`rushramp_crossed_bytes_total{service="` + utils.Label(a.service) + `",place="` + record.proximity.String() + `",cause="` + record.crossing.String() + `"}`).Add(bytes)
}

// bytesMoved returns the bytes that an attempt moved over its link, without the part of a large
// body that was granted before the executor refused the request.
func (a *attempts) bytesMoved(result *call.Result) int {
	bytes := frameBytes
	if result.Offered || !a.hasLargeBody() {
		bytes += len(a.req.Body)
	}
	if result.Answer != nil {
		bytes += len(result.Answer.Body)
	}
	return bytes
}

// fields returns the log fields; none for a request that stayed in its data centre without
// queueing for that.
func (t *crossingTotals) fields() []events.Field {
	var out []events.Field
	if t.crossedBytes > 0 {
		out = append(out, events.F("crossed", t.crossedBytes), events.F("crossed_because", t.cause))
	}
	if t.queuedNearer {
		out = append(out, events.F("queued_nearer", true), events.F("kept", t.keptBytes))
	}
	return out
}
