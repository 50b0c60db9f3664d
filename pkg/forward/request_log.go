package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/linkdelay"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// attemptRecord describes one attempt for the log: what the entry knew when it made the
// attempt, and how the attempt ended. One log line holds all attempts of a request, so
// that the request's id finds them.
type attemptRecord struct {
	vm string
	// sentAt is in nanoseconds of the daemon's clock.
	sentAt    int64
	soft      bool
	proximity proximity.Level
	// toTargetVersion is true for an attempt at the version to which a roll-out moves.
	toTargetVersion bool
	// load is the load of the backend server as known to the entry, loadAge the age of the
	// newest load stamp; it is negative if the entry has had none.
	load    tables.LoadSnapshot
	loadAge time.Duration
	// bodySize is that of a granted body, and ownLinkDelay the delay on the link of this
	// daemon's VM; 0: none.
	bodySize     int64
	ownLinkDelay time.Duration
	// passedOver counts the candidates that were passed over for this attempt, because
	// their load showed that they would refuse it.
	passedOver int
	crossing   choose.Crossing
	outcome    string
	offered    bool
	took       time.Duration
	// laterOutcome is the outcome of an attempt that was left, and laterTook when it
	// arrived; empty: none arrived in time.
	laterOutcome string
	laterTook    time.Duration
}

// newAttemptRecord returns the record of an attempt that begins at now, in nanoseconds of
// the daemon's clock.
func newAttemptRecord(now int64, candidate *tables.Candidate, soft bool, at proximity.Level, passedOver int) attemptRecord {
	out := attemptRecord{vm: candidate.Endpoint.VM, sentAt: now, soft: soft, proximity: at, passedOver: passedOver, loadAge: -1}
	candidate.Load.SnapshotInto(now, &out.load)
	if out.load.StampReceivedAt != 0 {
		out.loadAge = time.Duration(max(now-out.load.StampReceivedAt, 0))
	}
	return out
}

// setEnd records how the attempt ended and how long it took.
func (r *attemptRecord) setEnd(result *call.Result, took time.Duration) {
	r.took, r.offered = took, result.Offered
	if r.outcome == "" {
		r.outcome = outcomeOf(result)
	}
}

// outcomeOf returns the status of an answer or the kind of a refusal.
func outcomeOf(result *call.Result) string {
	if result.Refusal != nil {
		return result.Refusal.Kind.String()
	}
	return strconv.Itoa(result.Answer.Status)
}

// The outcomes in the records of attempts that have no result of their own.
const (
	// outcomePassedOver: the candidate was not tried.
	outcomePassedOver = "passed_over"
	// outcomeUnacknowledged: the attempt was left because it was not acknowledged.
	outcomeUnacknowledged = "unacknowledged"
	// outcomeUnresponsive: the attempt was left because its executor's daemon did not respond.
	outcomeUnresponsive = "unresponsive"
	// outcomeNotNeeded: an attempt that was left before was answered first.
	outcomeNotNeeded = "not_needed"
)

// recordPassedOver records the remaining candidates that were not tried, each with the
// load because of which the request is refused.
func (a *attempts) recordPassedOver() {
	now := a.forwarder.Now()
	for i := range a.candidates {
		if a.excluded.Has(i) {
			continue
		}
		candidate := &a.candidates[i]
		record := newAttemptRecord(now, candidate, false, a.proximityOf(candidate), 0)
		record.outcome = outcomePassedOver
		a.records = append(a.records, record)
	}
}

// String returns the record as it stands in a log line: the VM, the properties of the
// attempt, the known load, the outcome and the time taken. docs/OPERATIONS.md explains
// the format.
func (r *attemptRecord) String() string {
	var out strings.Builder
	out.WriteString(r.vm)
	if r.soft {
		out.WriteString(" soft")
	}
	if r.proximity != proximity.SameDataCentre {
		out.WriteString(" " + r.proximity.String())
	}
	if r.toTargetVersion {
		out.WriteString(" target")
	}
	if r.loadAge >= 0 {
		out.WriteString(" load=" + strconv.FormatInt(r.load.InFlight+r.load.SentSinceStamp, 10) + "/" + strconv.FormatInt(r.load.Limit, 10))
		out.WriteString(" slowdown=" + strconv.FormatInt(r.load.Slowdown, 10))
		out.WriteString(" age=" + events.Milliseconds(r.loadAge))
		r.writeLink(&out)
		if r.load.StartRate > 0 {
			out.WriteString(" rate_limit=" + strconv.FormatFloat(r.load.StartRate, 'f', 1, 64) + " tokens=" + strconv.FormatFloat(r.load.StartTokens, 'f', 1, 64))
		}
	} else {
		out.WriteString(" load=unknown")
	}
	if r.passedOver > 0 {
		out.WriteString(" passed_over=" + strconv.Itoa(r.passedOver))
	}
	if r.crossing != choose.NotWeighed {
		out.WriteString(" " + r.crossing.String())
	}
	out.WriteString(" -> " + r.outcome)
	if r.took > 0 {
		out.WriteString(" " + events.Milliseconds(r.took))
	}
	if r.laterOutcome != "" {
		out.WriteString(" then " + r.laterOutcome + " " + events.Milliseconds(r.laterTook))
	}
	return out.String()
}

// writeLink adds what the entry knew of the link of the attempt's VM, if that was slow: the
// delay that it expected and, for a granted body, the wait and the rate.
func (r *attemptRecord) writeLink(out *strings.Builder) {
	if delay := linkdelay.Decay(r.load.LinkDelay, r.loadAge); delay >= time.Millisecond {
		out.WriteString(" link_delay=" + events.Milliseconds(delay))
	}
	if r.bodySize > 0 && r.load.LinkRate > 0 {
		out.WriteString(" body_wait=" + events.Milliseconds(r.load.BodyWait) + " link_rate=" + strconv.FormatInt(r.load.LinkRate, 10))
	}
	if r.ownLinkDelay > 0 {
		out.WriteString(" own_link_delay=" + events.Milliseconds(r.ownLinkDelay))
	}
}

// recordsText returns the records of all attempts as they stand in a log line.
func (a *attempts) recordsText() string {
	parts := make([]string, 0, len(a.records))
	for i := range a.records {
		parts = append(parts, a.records[i].String())
	}
	return strings.Join(parts, "; ")
}

// logEnd writes the log line for the end of a request. a is nil for a request that was
// refused before its first attempt could be prepared.
func (f *Forwarder) logEnd(req *Request, a *attempts, startedAt int64, result *call.Result) {
	id := events.RequestAnswered
	if result.Refusal != nil {
		id = events.RequestFailed
	}
	if !f.Log.Enabled(id) {
		return
	}
	fields := []events.Field{events.F("request", req.ID), events.F("took", events.Milliseconds(time.Duration(f.Now()-startedAt)))}
	if req.PipelinedBehind > 0 {
		fields = append(fields, events.F("behind", req.PipelinedBehind), events.F("waited", events.Milliseconds(req.PipelineWait)))
	}
	if a != nil && a.team != nil {
		fields = append(fields, events.F("team", a.team.Name))
	}
	if a != nil {
		fields = append(fields,
			events.F("route", a.route.Name), events.F("service", a.service), events.F("version", a.version),
			events.F("priority", a.route.Priority), events.F("target", events.Milliseconds(a.target)), events.F("timeout", events.Milliseconds(time.Duration(a.deadline-a.startedAt))),
			events.F("tries", a.tries), events.F("offered", a.offered), events.F("stopped", a.stopReason), events.F("budget_of", a.budgetOf), events.F("attempts", a.recordsText()))
		fields = append(fields, a.crossings.fields()...)
	}
	fields = append(fields, endFields(result)...)
	if a != nil && a.returnCause != "" {
		fields = append(fields, events.F("return_cause", a.returnCause))
	}
	if a != nil && result.Refusal != nil {
		fields = append(fields, events.F("content", a.fingerprint()))
	}
	f.Log.Event(id, fields...)
}

// endFields returns the log fields that say how a request ended.
func endFields(result *call.Result) []events.Field {
	if refusal := result.Refusal; refusal != nil {
		out := []events.Field{events.F("outcome", refusal.Kind), events.F("ran", refusal.Ran), events.F("detail", refusal.Detail)}
		if result.RetryAfter > 0 {
			out = append(out, events.F("retry_after", events.Milliseconds(result.RetryAfter)))
		}
		return out
	}
	answer := result.Answer
	return []events.Field{
		events.F("outcome", "answered"), events.F("status", answer.Status), events.F("server", result.Server),
		events.F("queued", events.Milliseconds(answer.Queued)), events.F("run", events.Milliseconds(answer.Run)), events.F("bytes", len(answer.Body)),
	}
}
