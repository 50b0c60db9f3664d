package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// attemptNote is what an attempt was decided on, and how it ended. The trail of
// a request is written on one line, so that its id leads to all of them.
type attemptNote struct {
	vm   string
	soft bool
	at   proximity.Level
	// target is true for an attempt at the version that a roll-out moves to.
	target bool
	// known is what the entry knew of the backend server, age how old it was; a
	// negative age: nothing.
	known tables.LoadSnapshot
	age   time.Duration
	// refusing counts the candidates that were passed over for this attempt.
	refusing int
	outcome  string
	offered  bool
	took     time.Duration
}

// noteAttempt begins the note of an attempt.
func noteAttempt(now int64, to *tables.Candidate, soft bool, at proximity.Level, refusing int) attemptNote {
	out := attemptNote{vm: to.Endpoint.VM, soft: soft, at: at, refusing: refusing, age: -1}
	to.Load.SnapshotInto(now, &out.known)
	if out.known.StampReceivedAt != 0 {
		out.age = time.Duration(max(now-out.known.StampReceivedAt, 0))
	}
	return out
}

// end takes over how the attempt ended.
func (n *attemptNote) end(result *call.Result, took time.Duration) {
	n.took, n.offered = took, result.Offered
	if result.Refusal != nil {
		n.outcome = result.Refusal.Kind.String()
		return
	}
	n.outcome = strconv.Itoa(result.Answer.Status)
}

// passedOver is the outcome of a candidate that was not asked.
const passedOver = "passed_over"

// notePassedOver notes what was known of the candidates that were left and not
// asked: the request is refused because of it.
func (a *attempts) notePassedOver() {
	now := a.owner.Now()
	for i := range a.set {
		if a.closed.Has(i) {
			continue
		}
		to := &a.set[i]
		note := noteAttempt(now, to, false, a.placeOf(to), 0)
		note.outcome = passedOver
		a.trail = append(a.trail, note)
	}
}

// String is the note in a log line: where, on which knowledge, and the end.
// docs/OPERATIONS.md explains it.
func (n *attemptNote) String() string {
	var out strings.Builder
	out.WriteString(n.vm)
	if n.soft {
		out.WriteString(" soft")
	}
	if n.at != proximity.SameDataCentre {
		out.WriteString(" " + n.at.String())
	}
	if n.target {
		out.WriteString(" target")
	}
	if n.age >= 0 {
		out.WriteString(" load=" + strconv.FormatInt(n.known.InFlight+n.known.SentSinceStamp, 10) + "/" + strconv.FormatInt(n.known.Limit, 10))
		out.WriteString(" slowdown=" + strconv.FormatInt(n.known.Slowdown, 10))
		out.WriteString(" age=" + events.Milliseconds(n.age))
	} else {
		out.WriteString(" load=unknown")
	}
	if n.refusing > 0 {
		out.WriteString(" passed_over=" + strconv.Itoa(n.refusing))
	}
	out.WriteString(" -> " + n.outcome)
	if n.took > 0 {
		out.WriteString(" " + events.Milliseconds(n.took))
	}
	return out.String()
}

// trailText is all attempts of a request in a log line.
func (a *attempts) trailText() string {
	parts := make([]string, 0, len(a.trail))
	for i := range a.trail {
		parts = append(parts, a.trail[i].String())
	}
	return strings.Join(parts, "; ")
}

// logEnd writes the line of a request's end.
func (f *Forwarder) logEnd(req *Request, a *attempts, began int64, result *call.Result) {
	id := events.RequestAnswered
	if result.Refusal != nil {
		id = events.RequestFailed
	}
	if !f.Log.Wants(id) {
		return
	}
	fields := []events.Field{events.F("request", req.ID), events.F("took", events.Milliseconds(time.Duration(f.Now()-began)))}
	if req.PipelinedBehind > 0 {
		fields = append(fields, events.F("behind", req.PipelinedBehind), events.F("waited", events.Milliseconds(req.PipelineWait)))
	}
	if a != nil && a.team != nil {
		fields = append(fields, events.F("team", a.team.Name))
	}
	if a != nil {
		fields = append(fields,
			events.F("route", a.route.Name), events.F("service", a.service), events.F("version", a.version),
			events.F("priority", a.route.Priority), events.F("target", events.Milliseconds(a.target)), events.F("timeout", events.Milliseconds(time.Duration(a.deadline-a.began))),
			events.F("tries", a.tries), events.F("offered", a.offered), events.F("stopped", a.stopped), events.F("attempts", a.trailText()))
	}
	fields = append(fields, endFields(result)...)
	if a != nil && result.Refusal != nil {
		fields = append(fields, events.F("content", a.fingerprint()))
	}
	f.Log.Event(id, fields...)
}

// endFields say how a request ended.
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
