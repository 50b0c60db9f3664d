// Package forward sends routed requests from their entry to backend servers: it finds the
// route of a request, chooses a backend server, sends the request again where that is
// safe, and logs how it ended. Source: docs/design/platform.md, "The way of a request".
package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/linkdelay"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/returns"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
	"github.com/rushramp/rushramp/pkg/worktime"
)

// Request is a routed request as the caller sent it.
type Request struct {
	// ID is the request id that the caller set. The backend server gets it unchanged.
	ID      string
	Host    string
	Method  string
	URI     string
	Path    string
	Headers []wire.Header
	Body    []byte
	// TeamKey is the team key that the request carries.
	TeamKey TeamKey
	// Timeout is the time that the caller allows; 0: the caller set none.
	Timeout time.Duration
	// PipelinedBehind is the number of earlier requests on the same connection that were
	// unanswered when this one was read, PipelineWait how long it waited for them. That
	// wait is part of the request's time.
	PipelinedBehind int
	PipelineWait    time.Duration
}

// fingerprint returns the fingerprint of the request's content.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return wire.FingerprintOf(r.Method, r.Host, r.URI, r.Headers, r.Body)
}

// RouteMatch is the route that Match found for a request, and the placement that it
// belongs to. Either is nil if there is none.
type RouteMatch struct {
	placement *placement.Compiled
	route     *routing.CompiledRoute
}

// Repeatable reports whether the request may run more than once. It is false for a
// request without a route, which does not run at all.
func (m RouteMatch) Repeatable() bool { return m.route != nil && m.route.Repeatable }

// LocalRuns describes the runs at the backend server on this daemon's VM.
type LocalRuns interface {
	// RepeatShare returns the share, from 0 to 1, of the runs that repeat a run
	// elsewhere.
	RepeatShare() float64
	// RecordFailedCall records that a call which that backend server made to another
	// service failed.
	RecordFailedCall()
}

// Forwarder forwards the routed requests that enter at this daemon. It is safe for
// concurrent use.
type Forwarder struct {
	*common.Common
	view         *tables.View
	random       choose.Random
	budgets      *retryBudgets
	work         *worktime.Times
	calledRoutes *calledRoutes
	sizes        *requestSizes
	returns      *returns.Schedules
	transfers    *transferTimes
	// localRuns is nil on a daemon without a backend server.
	localRuns LocalRuns
	// acks decides when a call counts as not acknowledged.
	acks *acks.Entry
	// ownLink holds the delays of acks by link, from which the delay of this VM's own link
	// follows.
	ownLink *linkdelay.Delays[*acks.Link]

	inFlight atomic.Int64
	// changedService replaces the service of the backend server in the settings once the
	// settings file has named another one; nil: it has not.
	changedService atomic.Pointer[string]
	// drain is nil until the daemon drains.
	drain atomic.Pointer[drainTimes]
}

// NewForwarder returns the forwarder of one daemon; localRuns may be nil.
func NewForwarder(c *common.Common, view *tables.View, localRuns LocalRuns) *Forwarder {
	f := &Forwarder{
		acks:         acks.NewEntry(),
		ownLink:      linkdelay.NewDelays[*acks.Link](),
		Common:       c,
		view:         view,
		random:       choose.RuntimeRandom{},
		budgets:      newRetryBudgets(c, view.RetryDaemons),
		work:         worktime.NewTimes(),
		calledRoutes: newCalledRoutes(),
		sizes:        newRequestSizes(),
		returns:      returns.NewSchedules(choose.RuntimeRandom{}.Float64),
		transfers:    &transferTimes{},
		localRuns:    localRuns,
	}
	c.Metrics.GetOrCreateGauge("rushramp_ack_widening", func() float64 { return float64(f.acks.Widening()) })
	c.Metrics.GetOrCreateGauge("rushramp_link_own_delay_seconds", func() float64 { return f.ownLinkDelay().Seconds() })
	return f
}

// InFlight returns the number of requests that have not ended.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// SetCallerService sets the service that requests are sent in the name of: that of the backend
// server on this daemon's VM. It is the one in the settings before the first call.
func (f *Forwarder) SetCallerService(service string) { f.changedService.Store(&service) }

func (f *Forwarder) callerService() string {
	if service := f.changedService.Load(); service != nil {
		return *service
	}
	return f.Settings.BackendServer.Service
}

// Match finds the route of a request in the placement in force.
func (f *Forwarder) Match(req *Request) RouteMatch {
	out := RouteMatch{placement: f.view.Placement()}
	if out.placement != nil {
		out.route = out.placement.Routes.Match(req.Host, req.Path)
	}
	return out
}

// Forward forwards a request and returns how it ended. ctx ends when the caller
// disconnects.
func (f *Forwarder) Forward(ctx context.Context, req *Request) call.Result {
	return f.ForwardMatched(ctx, f.Match(req), req)
}

// ForwardMatched is Forward for a request whose route Match has found.
func (f *Forwarder) ForwardMatched(ctx context.Context, match RouteMatch, req *Request) call.Result {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	startedAt := f.Now() - int64(req.PipelineWait)
	if match.placement == nil {
		return f.finish(req, nil, startedAt, call.Refused(errkind.PlacementUnknown, "this daemon has no placement yet"))
	}
	if match.route == nil {
		return f.finish(req, nil, startedAt, call.Refused(errkind.UnknownRoute, "placement version %d has no route for this host and path", match.placement.Version))
	}
	team, refusal := f.authenticate(match, req)
	if refusal != nil {
		return f.finish(req, nil, startedAt, call.Result{Refusal: refusal})
	}
	a := f.newAttempts(ctx, req, match.route, match.placement.Version, startedAt)
	a.team = team
	if refused := a.drainRefusal(); refused != nil {
		return f.finish(req, a, startedAt, *refused)
	}
	if refused := f.takeToken(ctx, a); refused != nil {
		return f.finish(req, a, startedAt, *refused)
	}
	result := a.run()
	f.returnToken(a, &result)
	return f.finish(req, a, startedAt, result)
}

// finish counts and logs the end of a request, and returns its result. a is nil for a
// request that was refused before its first attempt could be prepared.
func (f *Forwarder) finish(req *Request, a *attempts, startedAt int64, result call.Result) call.Result {
	outcome, service := "answered", ""
	if a != nil {
		service = a.service
	}
	if result.Refusal != nil {
		outcome = result.Refusal.Kind.String()
	}
	f.Metrics.GetOrCreateCounter(`rushramp_routed_total{service="` + utils.Label(service) + `",kind="` + kindLabel(a) + `",outcome="` + outcome + `"}`).Inc()
	f.observeTimes(service, time.Duration(f.Now()-startedAt), &result)
	if a != nil && f.localRuns != nil && failedForCaller(&result) && f.calledRoutes.contains(a.route.Name) {
		f.localRuns.RecordFailedCall()
	}
	f.logEnd(req, a, startedAt, &result)
	return result
}

// failedForCaller reports whether a caller that waited for the result got no answer that
// it can use.
func failedForCaller(result *call.Result) bool {
	if result.Answer != nil {
		return result.Answer.Status >= 500
	}
	return result.Refusal.Kind != errkind.CallerGone
}

// kindLabel returns the metric label that says whether a request may run more than once.
// It is empty for a request without a route.
func kindLabel(a *attempts) string {
	switch {
	case a == nil:
		return ""
	case a.route.Repeatable:
		return "repeatable"
	}
	return "once"
}

// observeTimes adds the times of a request to the histograms of its service: the whole
// time, and for an answered request also the queue time, the run time, and the rest.
func (f *Forwarder) observeTimes(service string, took time.Duration, result *call.Result) {
	label := `{service="` + utils.Label(service) + `"}`
	f.Metrics.GetOrCreateHistogram("rushramp_routed_seconds" + label).Update(took.Seconds())
	answer := result.Answer
	if answer == nil {
		return
	}
	f.Metrics.GetOrCreateHistogram("rushramp_routed_queue_seconds" + label).Update(answer.Queued.Seconds())
	f.Metrics.GetOrCreateHistogram("rushramp_routed_run_seconds" + label).Update(answer.Run.Seconds())
	f.Metrics.GetOrCreateHistogram("rushramp_routed_elsewhere_seconds" + label).Update((took - answer.Queued - answer.Run).Seconds())
}

// Timeout returns how long a request may take, including the time to read its body.
func (f *Forwarder) Timeout(req *Request) time.Duration { return f.timeout(req, f.Match(req).route) }

// timeout returns the shorter of the timeouts that the route and the caller set, or the
// default where neither sets one. route may be nil.
func (f *Forwarder) timeout(req *Request, route *routing.CompiledRoute) time.Duration {
	timeout := time.Duration(0)
	if route != nil {
		timeout = route.Timeout
	}
	if req.Timeout > 0 && (timeout == 0 || req.Timeout < timeout) {
		timeout = req.Timeout
	}
	if timeout == 0 {
		timeout = f.Settings.Retries.DefaultTimeout
	}
	return timeout
}

// newAttempts prepares the attempts of a request on a route. It draws the service, where
// the route is divided among several, and the lane. version is the placement's version.
// The request's timeout and target run from startedAt, in nanoseconds of the daemon's
// clock.
func (f *Forwarder) newAttempts(ctx context.Context, req *Request, route *routing.CompiledRoute, version uint64, startedAt int64) *attempts {
	timeout := f.timeout(req, route)
	target := route.Target
	if target == 0 {
		target = timeout
	}
	service := route.NextService()
	return &attempts{
		forwarder: f, ctx: ctx, req: req, route: route, version: version, service: service,
		rule:      dataCentreRule{version, route.DataCentres},
		lane:      f.view.RolloutTraffic(service).AssignLane(route.Name),
		startedAt: startedAt, deadline: startedAt + int64(timeout), target: target,
		softLeft: f.Settings.Routing.SoftAttempts,
		ends:     make(chan *attemptEnd, maxTries),
	}
}
