package entry

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/executor"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// readyPollInterval is the interval at which waitUntil checks its condition.
	readyPollInterval = time.Millisecond
	// readyTimeout is the longest time that waitUntil waits.
	readyTimeout = 2 * time.Second
	// answerGrace is how long after the deadline the entry still waits for the
	// executor's result, because only the executor knows whether the call ran.
	answerGrace = 20 * time.Millisecond
)

// Entry admits and runs the calls that callers send to this daemon. It is safe for
// concurrent use.
type Entry struct {
	*common.Common
	view    *tables.View
	inbox   *tables.Inbox
	policy  choose.Policy
	random  choose.Random
	sealer  Sealer
	budgets *retryBudgets
	stats   *stats
}

// Sealer closes the idempotency key of a never-repeat call whose outcome the entry did
// not learn. Source: docs/design/at-most-once.md.
type Sealer interface {
	// Seal prevents the call from running with its present claim. Where the call has not
	// run, the result is a KeyMoved refusal with the next claim; otherwise the result
	// states the outcome that the store has for the call. reason is the refusal to return
	// when the store does not answer.
	Seal(c *wire.Call, body []byte, reason *errkind.Error) call.Result
}

// NewEntry returns the entry of one daemon.
func NewEntry(c *common.Common, w *tables.World, policy choose.Policy, sealer Sealer) *Entry {
	return &Entry{
		Common:  c,
		view:    w.View,
		inbox:   w.Inbox,
		policy:  policy,
		random:  choose.RuntimeRandom{},
		sealer:  sealer,
		budgets: newRetryBudgets(c, w.View.RetryDaemons),
		stats:   newStats(c.Metrics, c.Settings.Retries.HedgeQuantile),
	}
}

// Admit finds the kind of a request and checks that the request may enter at this
// daemon, before its body is read. The call may run only where both the Misplaced and
// the error are nil. ctx ends when the caller disconnects.
func (e *Entry) Admit(ctx context.Context, req *Request) (*AdmittedCall, *Misplaced, *errkind.Error) {
	startedAt := e.Now()
	if e.view.Leaving() {
		return nil, nil, errkind.New(errkind.Leaving, "this daemon is leaving")
	}
	if !e.view.Ready() {
		return nil, nil, errkind.New(errkind.PlacementUnknown, "this daemon has no placement or no list of members yet")
	}
	service, refusal := e.serviceView(ctx, req.Service)
	if refusal != nil {
		return nil, nil, refusal
	}
	kind := service.Match(req.Method, executor.PathOf(req.URI))
	if kind == nil {
		return nil, nil, errkind.New(errkind.UnknownRequestKind, "service %s has no kind of request for method %s and this path", req.Service, req.Method)
	}
	admitted := &AdmittedCall{Request: req, KindView: kind, startedAt: startedAt}
	admitted.deadline = startedAt + int64(e.timeout(req, kind.Kind))
	misplaced, refusal := e.checkKind(req, kind)
	return admitted, misplaced, refusal
}

// checkKind applies the rules of a kind to a request: a strict kind needs a placement
// that is known to be in force, a kind may require an idempotency key, and data from another
// VM must not enter a data centre that the kind does not allow.
func (e *Entry) checkKind(req *Request, kind *tables.KindView) (*Misplaced, *errkind.Error) {
	switch {
	case kind.Kind.Strict && e.view.PlacementUnsure():
		return nil, errkind.New(errkind.PlacementUnsure, "placement version %d may have been replaced", kind.Kind.Version)
	case kind.Kind.NeverRepeat && kind.Kind.Key == placement.KeyRequired && req.IdempotencyKey == "":
		return nil, errkind.New(errkind.KeyMissing, "kind %s may never be repeated", kind.Kind.Name)
	case req.FromOtherVM && !kind.Kind.Allows(e.Settings.VM.DataCentre):
		return &Misplaced{
			Refusal:   errkind.New(errkind.WrongPlace, "kind %s may be handled in %v", kind.Kind.Name, kind.Kind.DataCentres),
			Addresses: kind.RedirectAddresses,
		}, nil
	}
	return nil, nil
}

// timeout returns the caller's timeout, else that of the kind, else the default.
func (e *Entry) timeout(req *Request, kind *placement.CompiledKind) time.Duration {
	switch {
	case req.Timeout > 0:
		return req.Timeout
	case kind.Timeout > 0:
		return kind.Timeout
	}
	return e.Settings.Retries.DefaultTimeout
}

// serviceView returns the view of a service. The first call for a service asks for the
// view to be built, and waits for it.
func (e *Entry) serviceView(ctx context.Context, name string) (*tables.ServiceView, *errkind.Error) {
	if v := e.view.Service(name); v != nil {
		return v, nil
	}
	if p := e.view.Placement(); p == nil || p.Service(name) == nil {
		return nil, errkind.New(errkind.UnknownService, "the placement has no service %q", name)
	}
	e.inbox.Post(true, func(m *tables.Mail) { m.RequestedServices = append(m.RequestedServices, name) })
	var found *tables.ServiceView
	waitUntil(ctx, func() bool {
		found = e.view.Service(name)
		return found != nil
	})
	if found == nil {
		return nil, errkind.New(errkind.PlacementUnknown, "service %q is not ready at this daemon yet", name)
	}
	return found, nil
}

// waitUntil polls until ready returns true, ctx ends or readyTimeout has passed. It is
// meant for conditions that come true once in a daemon's life, so few calls poll.
func waitUntil(ctx context.Context, ready func() bool) {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(readyPollInterval)
	defer poll.Stop()
	for !ready() {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-poll.C:
		}
	}
}

// Run runs an admitted call with its whole body and returns how it ended. ctx ends when
// the caller disconnects.
func (e *Entry) Run(ctx context.Context, admitted *AdmittedCall, body []byte) call.Result {
	result := e.runAttempts(ctx, admitted, body)
	e.stats.record(admitted, result, e.Now())
	return result
}

// runAttempts finds the candidates for a call and makes its attempts.
func (e *Entry) runAttempts(ctx context.Context, admitted *AdmittedCall, body []byte) call.Result {
	candidates, refusal := e.candidates(ctx, admitted)
	if refusal != nil {
		return call.Result{Refusal: refusal}
	}
	a := &attempts{
		entry: e, ctx: ctx, admitted: admitted, body: body,
		budget:    e.budgets.forService(admitted.Request.Service),
		choice:    choose.Request{CandidateSet: candidates},
		lane:      e.view.RolloutTraffic(admitted.Request.Service).AssignLane(admitted.KindView.Kind.Name),
		claim:     wire.Claim{Generation: 1},
		remaining: e.Settings.Retries.Attempts,
		soft:      e.Settings.Choosing.SoftFirst && len(candidates) > 1,
	}
	if admitted.isUnkeyed() {
		a.remaining, a.soft = 1, false
	}
	return a.run()
}

// candidates returns the candidates to which this daemon has a link. Where there is
// none yet, it waits for the first link.
func (e *Entry) candidates(ctx context.Context, admitted *AdmittedCall) ([]tables.Candidate, *errkind.Error) {
	if len(admitted.KindView.LinkedCandidates) > 0 {
		return admitted.KindView.LinkedCandidates, nil
	}
	if len(admitted.KindView.UnlinkedEndpoints) == 0 {
		return nil, errkind.New(errkind.NoBackendServer, "no backend server is live in %v", admitted.KindView.Kind.DataCentres)
	}
	kind := admitted.KindView.Kind
	waitUntil(ctx, func() bool {
		service := e.view.Service(kind.Service)
		if service == nil {
			return false
		}
		if v := service.Match(admitted.Request.Method, executor.PathOf(admitted.Request.URI)); v != nil {
			admitted.KindView = v
		}
		return len(admitted.KindView.LinkedCandidates) > 0 || e.Now() >= admitted.deadline
	})
	if len(admitted.KindView.LinkedCandidates) == 0 {
		return nil, errkind.New(errkind.LinkUnavailable, "this daemon has no link to a daemon of service %s", kind.Service)
	}
	return admitted.KindView.LinkedCandidates, nil
}

// countsAsFailure reports whether a result counts towards the failure share of a
// backend server. Without the failure share, a server that fails quickly would look fast.
func countsAsFailure(r call.Result) bool {
	if r.Answer != nil {
		return r.Answer.Status >= 500
	}
	switch r.Refusal.Kind {
	case errkind.BackendUnreachable, errkind.BackendFailed, errkind.AnswerCut, errkind.LinkLost, errkind.LinkUnavailable:
		return true
	}
	return false
}
