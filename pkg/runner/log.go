package runner

import (
	"strconv"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
)

// logOutcome logs how a request ended at this executor, with the load of the gate.
func (run *routedRun) logOutcome(result *call.Result) {
	id := outcomeEvent(result)
	log := run.runner.Log
	if !log.Enabled(id) {
		return
	}
	c := run.call
	fields := []events.Field{
		events.F("request", c.Routed.ID), events.F("route", c.Kind), events.F("service", c.Service),
		events.F("version", c.Placement), events.F("team", c.Routed.Team), events.F("priority", c.Routed.Priority), events.F("soft", c.Routed.Soft),
		events.F("left", events.Milliseconds(c.Remaining)), events.F("target_left", events.Milliseconds(c.Routed.TargetRemaining)),
		events.F("expected_work", events.Milliseconds(run.job.Work)), events.F("called", run.job.Nested), events.F("held", run.job.Held()),
		events.F("gate", strconv.Itoa(int(result.Stamp.Running))+"+"+strconv.Itoa(int(result.Stamp.Queued))+"/"+strconv.Itoa(int(result.Stamp.Limit))),
		events.F("slowdown", result.Stamp.Slowdown), events.F("load_age", events.Milliseconds(run.runner.load.Age(run.runner.Now()))),
	}
	if revision, known := run.runner.enforcer.PlanRevision(); known {
		fields = append(fields, events.F("backend_version", run.runner.lifecycle.Version()), events.F("plan", revision))
	}
	if refusal := result.Refusal; refusal != nil {
		fields = append(fields, events.F("outcome", refusal.Kind), events.F("ran", refusal.Ran), events.F("detail", refusal.Detail))
		if run.withdrawn {
			fields = append(fields, events.F("overtaken", run.job.Overtaken()))
		}
		if result.Offered {
			fields = append(fields, events.F("content", c.Fingerprint(run.body)))
		}
	}
	if answer := result.Answer; answer != nil {
		fields = append(fields, events.F("outcome", "answered"), events.F("status", answer.Status),
			events.F("queued", events.Milliseconds(answer.Queued)),
			events.F("start_slowdown", answer.Slowdown), events.F("at_once", run.job.ConcurrencyAtStart()), events.F("run", events.Milliseconds(answer.Run)), events.F("instance", run.incarnation))
	}
	log.Event(id, fields...)
}

// outcomeEvent returns the event that a result is logged as. A request that reached the
// backend server, or may have, counts as a run.
func outcomeEvent(result *call.Result) events.ID {
	switch {
	case result.Refusal == nil || result.Offered:
		return events.RunEnded
	case result.Refusal.Kind == errkind.CallerGone || result.Refusal.Kind == errkind.DeadlineBeforeRun:
		return events.RunAbandoned
	}
	return events.RunRefused
}
