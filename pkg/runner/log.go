package runner

import (
	"strconv"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
)

// logEnd writes the line of how a request ended at this executor, with what the
// gate knew.
func (run *routedRun) logEnd(result *call.Result) {
	id := eventOf(result)
	log := run.owner.Log
	if !log.Wants(id) {
		return
	}
	c := run.call
	fields := []events.Field{
		events.F("request", c.Routed.ID), events.F("route", c.Kind), events.F("service", c.Service),
		events.F("version", c.Placement), events.F("team", c.Routed.Team), events.F("priority", c.Routed.Priority), events.F("soft", c.Routed.Soft),
		events.F("left", events.Milliseconds(c.Remaining)), events.F("target_left", events.Milliseconds(c.Routed.TargetRemaining)),
		events.F("expected_work", events.Milliseconds(run.job.Work)), events.F("called", run.job.Nested), events.F("held", run.job.Held()),
		events.F("gate", strconv.Itoa(int(result.Stamp.Running))+"+"+strconv.Itoa(int(result.Stamp.Queued))+"/"+strconv.Itoa(int(result.Stamp.Limit))),
		events.F("slowdown", result.Stamp.Slowdown), events.F("load_age", events.Milliseconds(run.owner.load.Age(run.owner.Now()))),
	}
	if revision, is := run.owner.trial.PlanRevision(); is {
		fields = append(fields, events.F("backend_version", run.owner.lifecycle.Version()), events.F("plan", revision))
	}
	if refusal := result.Refusal; refusal != nil {
		fields = append(fields, events.F("outcome", refusal.Kind), events.F("ran", refusal.Ran), events.F("detail", refusal.Detail))
		if result.Offered {
			fields = append(fields, events.F("content", c.Fingerprint(run.body)))
		}
	}
	if answer := result.Answer; answer != nil {
		fields = append(fields, events.F("outcome", "answered"), events.F("status", answer.Status),
			events.F("queued", events.Milliseconds(answer.Queued)),
			events.F("start_slowdown", answer.Slowdown), events.F("at_once", run.job.ConcurrencyAtStart()), events.F("run", events.Milliseconds(answer.Run)), events.F("instance", run.instance))
	}
	log.Event(id, fields...)
}

// eventOf tells a run from a request that never reached the backend server.
func eventOf(result *call.Result) events.ID {
	switch {
	case result.Refusal == nil || result.Offered:
		return events.RunEnded
	case result.Refusal.Kind == errkind.CallerGone || result.Refusal.Kind == errkind.DeadlineBeforeRun:
		return events.RunAbandoned
	}
	return events.RunRefused
}
