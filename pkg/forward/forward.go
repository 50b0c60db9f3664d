// Package forward is the entry side of routed requests: it finds the route,
// chooses backend servers, sends the request again where that is right, and
// says how it ended. Source: docs/design/platform.md, "The way of a request".
package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
	"github.com/rushramp/rushramp/pkg/worktime"
)

// Request is a routed request as the caller sent it.
type Request struct {
	// ID is the caller's own; it reaches the backend server unchanged.
	ID      string
	Host    string
	Method  string
	URI     string
	Path    string
	Headers []wire.Header
	Body    []byte
	// TeamKey is the one that came with the request.
	TeamKey TeamKey
	// Timeout is what the caller allows; 0: not said.
	Timeout time.Duration
	// PipelinedBehind is how many requests of its connection were unanswered when it was
	// read, and Waited how long it was held for that. What it waited counts
	// against its time.
	PipelinedBehind int
	PipelineWait    time.Duration
}

// fingerprint stands for the request's content.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return wire.FingerprintOf(r.Method, r.Host, r.URI, r.Headers, r.Body)
}

// RouteMatch is the route of a request under the placement that was in force when
// it was looked for.
type RouteMatch struct {
	placement *placement.Compiled
	route     *routing.CompiledRoute
}

// Repeatable is true for a request that may run more than once. One without a
// route isn't: it does not run at all.
func (m RouteMatch) Repeatable() bool { return m.route != nil && m.route.Repeatable }

// LocalRuns tells of the runs at the backend server beside this daemon.
type LocalRuns interface {
	// RepeatShare is the share of them that repeat a run elsewhere, from 0 to 1.
	RepeatShare() float64
	// CallFailed notes that a call of that backend server failed.
	CallFailed()
}

// Forwarder takes routed requests to an end. It is safe for concurrent use.
type Forwarder struct {
	*common.Common
	view    *tables.View
	random  choose.Random
	budgets *budgets
	work    *worktime.Times
	called  *calledRoutes
	sizes   *sizes
	// runs is nil on a daemon without a backend server.
	runs LocalRuns

	inFlight atomic.Int64
}

// NewForwarder makes the forwarder of one daemon; runs may be nil.
func NewForwarder(c *common.Common, view *tables.View, runs LocalRuns) *Forwarder {
	return &Forwarder{
		Common:  c,
		view:    view,
		random:  choose.RuntimeRandom{},
		budgets: newBudgets(c, view.MemberCount),
		work:    worktime.NewTimes(),
		called:  newCalledRoutes(),
		sizes:   newSizes(),
		runs:    runs,
	}
}

// InFlight counts requests that have not ended.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// Match looks for the route of a request.
func (f *Forwarder) Match(req *Request) RouteMatch {
	out := RouteMatch{placement: f.view.Placement()}
	if out.placement != nil {
		out.route = out.placement.Routes.Match(req.Host, req.Path)
	}
	return out
}

// Forward takes a request to its end. ctx ends when the caller leaves.
func (f *Forwarder) Forward(ctx context.Context, req *Request) call.Result {
	return f.ForwardMatched(ctx, f.Match(req), req)
}

// ForwardMatched is Forward for a request whose route has been looked for.
func (f *Forwarder) ForwardMatched(ctx context.Context, to RouteMatch, req *Request) call.Result {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	began := f.Now() - int64(req.PipelineWait)
	if to.placement == nil {
		return f.ended(req, nil, began, call.Refused(errkind.PlacementUnknown, "this daemon has no placement yet"))
	}
	if to.route == nil {
		return f.ended(req, nil, began, call.Refused(errkind.UnknownRoute, "version %d has no route for this host and path", to.placement.Version))
	}
	team, refusal := f.identify(to, req)
	if refusal != nil {
		return f.ended(req, nil, began, call.Result{Refusal: refusal})
	}
	a := f.newAttempts(ctx, req, to.route, to.placement.Version, began)
	a.team = team
	if refused := f.count(ctx, a); refused != nil {
		return f.ended(req, a, began, *refused)
	}
	result := a.run()
	f.giveBack(a, &result)
	return f.ended(req, a, began, result)
}

// ended counts and logs how a request ended.
func (f *Forwarder) ended(req *Request, a *attempts, began int64, result call.Result) call.Result {
	outcome, service := "answered", ""
	if a != nil {
		service = a.service
	}
	if result.Refusal != nil {
		outcome = result.Refusal.Kind.String()
	}
	f.Metrics.GetOrCreateCounter(`rushramp_routed_total{service="` + utils.Label(service) + `",kind="` + kindOf(a) + `",outcome="` + outcome + `"}`).Inc()
	f.observe(service, time.Duration(f.Now()-began), &result)
	if a != nil && f.runs != nil && failed(&result) && f.called.has(a.route.Name) {
		f.runs.CallFailed()
	}
	f.logEnd(req, a, began, &result)
	return result
}

// failed is true for a request whose caller got no answer that it can use, and waited
// for one.
func failed(result *call.Result) bool {
	if result.Answer != nil {
		return result.Answer.Status >= 500
	}
	return result.Refusal.Kind != errkind.CallerGone
}

// kindOf is the label that tells requests that may be repeated from others.
func kindOf(a *attempts) string {
	switch {
	case a == nil:
		return ""
	case a.route.Repeatable:
		return "repeatable"
	}
	return "once"
}

// observe adds a request's times to the histograms of its service.
func (f *Forwarder) observe(service string, took time.Duration, result *call.Result) {
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

// Timeout is how long a request may take, its body included.
func (f *Forwarder) Timeout(req *Request) time.Duration { return f.timeout(req, f.Match(req).route) }

// timeout is the shorter one of what the route and the caller allow; route may be nil.
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

// newAttempts begins the attempts of a request whose route is known.
func (f *Forwarder) newAttempts(ctx context.Context, req *Request, route *routing.CompiledRoute, version uint64, began int64) *attempts {
	timeout := f.timeout(req, route)
	target := route.Target
	if target == 0 {
		target = timeout
	}
	service := route.NextService()
	return &attempts{
		owner: f, ctx: ctx, req: req, route: route, version: version, service: service,
		rules: rules{version, route.DataCentres},
		lane:  f.view.RolloutTraffic(service).Next(route.Name),
		began: began, deadline: began + int64(timeout), target: target,
		softLeft: f.Settings.Routing.SoftAttempts,
	}
}
