package entry

import (
	"context"
	"sync/atomic"
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
	// wantPoll is how often a call looks whether the first view of its service,
	// or its first link, has come. Only calls before that wait so.
	wantPoll = time.Millisecond
	// wantBound is the longest wait for a first link.
	wantBound = 2 * time.Second
	// grace is how long after the deadline the entry still
	// waits for the word of the executor, which knows whether the call ran.
	grace = 20 * time.Millisecond
)

// Entry takes calls in. It is safe for concurrent use.
type Entry struct {
	*common.Common
	view    *tables.View
	inbox   *tables.Inbox
	policy  choose.Policy
	random  choose.Random
	sealer  Sealer
	budgets *budgets
	stats   *stats

	inFlight atomic.Int64
}

// Sealer closes the key of a never-repeat call whose outcome was not learned.
// Source: docs/design/at-most-once.md.
type Sealer interface {
	Seal(c *wire.Call, body []byte, reason *errkind.Error) call.Result
}

// NewEntry makes the entry of one daemon.
func NewEntry(c *common.Common, w *tables.World, policy choose.Policy, sealer Sealer) *Entry {
	return &Entry{
		Common:  c,
		view:    w.View,
		inbox:   w.Inbox,
		policy:  policy,
		random:  choose.RuntimeRandom{},
		sealer:  sealer,
		budgets: newBudgets(c.Settings.Retries),
		stats:   newStats(c.Metrics, c.Settings.Retries.HedgeQuantile),
	}
}

// Admit finds the kind of a request and checks that it may enter here. It runs
// before the body is read.
func (e *Entry) Admit(ctx context.Context, req *Request) (*AdmittedCall, *Misplaced, *errkind.Error) {
	began := e.Now()
	if e.view.Leaving() {
		return nil, nil, errkind.New(errkind.Leaving, "this daemon is leaving")
	}
	if !e.view.Ready() {
		return nil, nil, errkind.New(errkind.PlacementUnknown, "this daemon has no placement or no list of members yet")
	}
	service, refusal := e.service(ctx, req.Service)
	if refusal != nil {
		return nil, nil, refusal
	}
	kind := service.Match(req.Method, executor.PathOf(req.URI))
	if kind == nil {
		return nil, nil, errkind.New(errkind.UnknownRequestKind, "service %s places no kind for %s and this path", req.Service, req.Method)
	}
	plan := &AdmittedCall{Request: req, KindView: kind, began: began}
	plan.deadline = began + int64(e.timeout(req, kind.Kind))
	misplaced, refusal := e.checkKind(req, kind)
	return plan, misplaced, refusal
}

func (e *Entry) checkKind(req *Request, kind *tables.KindView) (*Misplaced, *errkind.Error) {
	switch {
	case kind.Kind.Strict && e.view.PlacementUnsure():
		return nil, errkind.New(errkind.PlacementUnsure, "version %d may have been replaced", kind.Kind.Version)
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

func (e *Entry) timeout(req *Request, kind *placement.CompiledKind) time.Duration {
	switch {
	case req.Timeout > 0:
		return req.Timeout
	case kind.Timeout > 0:
		return kind.Timeout
	}
	return e.Settings.Retries.DefaultTimeout
}

// service returns the view of a service. The first call for a service waits
// until the systems have built it.
func (e *Entry) service(ctx context.Context, name string) (*tables.ServiceView, *errkind.Error) {
	if v := e.view.Service(name); v != nil {
		return v, nil
	}
	if p := e.view.Placement(); p == nil || p.Service(name) == nil {
		return nil, errkind.New(errkind.UnknownService, "service %q is not placed", name)
	}
	e.inbox.Post(true, func(m *tables.Mail) { m.RequestedServices = append(m.RequestedServices, name) })
	var found *tables.ServiceView
	waitUntil(ctx, func() bool {
		found = e.view.Service(name)
		return found != nil
	})
	if found == nil {
		return nil, errkind.New(errkind.PlacementUnknown, "service %q is not ready here yet", name)
	}
	return found, nil
}

// waitUntil polls a condition that comes true once in a daemon's life.
func waitUntil(ctx context.Context, ready func() bool) {
	bound := time.NewTimer(wantBound)
	defer bound.Stop()
	poll := time.NewTicker(wantPoll)
	defer poll.Stop()
	for !ready() {
		select {
		case <-ctx.Done():
			return
		case <-bound.C:
			return
		case <-poll.C:
		}
	}
}

// InFlight counts calls that have not ended.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Run takes a planned call with its whole body to an end. ctx ends when the
// caller leaves.
func (e *Entry) Run(ctx context.Context, plan *AdmittedCall, body []byte) call.Result {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	result := e.attempts(ctx, plan, body)
	e.stats.note(plan, result, e.Now())
	return result
}

func (e *Entry) attempts(ctx context.Context, plan *AdmittedCall, body []byte) call.Result {
	set, refusal := e.candidates(ctx, plan)
	if refusal != nil {
		return call.Result{Refusal: refusal}
	}
	t := &try{
		owner: e, ctx: ctx, plan: plan, body: body,
		budget: e.budgets.of(plan.Request.Service),
		req:    choose.Request{CandidateSet: set},
		lane:   e.view.RolloutTraffic(plan.Request.Service).Next(plan.KindView.Kind.Name),
		claim:  wire.Claim{Generation: 1},
		left:   e.Settings.Retries.Attempts,
		soft:   e.Settings.Choosing.SoftFirst && len(set) > 1,
	}
	if plan.unkeyed() {
		t.left, t.soft = 1, false
	}
	return t.run()
}

// candidates returns the linked candidates, and waits for the first link.
func (e *Entry) candidates(ctx context.Context, plan *AdmittedCall) ([]tables.Candidate, *errkind.Error) {
	if len(plan.KindView.LinkedCandidates) > 0 {
		return plan.KindView.LinkedCandidates, nil
	}
	if len(plan.KindView.UnlinkedEndpoints) == 0 {
		return nil, errkind.New(errkind.NoBackendServer, "no backend server is live in %v", plan.KindView.Kind.DataCentres)
	}
	kind := plan.KindView.Kind
	waitUntil(ctx, func() bool {
		service := e.view.Service(kind.Service)
		if service == nil {
			return false
		}
		if v := service.Match(plan.Request.Method, executor.PathOf(plan.Request.URI)); v != nil {
			plan.KindView = v
		}
		return len(plan.KindView.LinkedCandidates) > 0 || e.Now() >= plan.deadline
	})
	if len(plan.KindView.LinkedCandidates) == 0 {
		return nil, errkind.New(errkind.LinkUnavailable, "no daemon of service %s could be reached", kind.Service)
	}
	return plan.KindView.LinkedCandidates, nil
}

// failed is true for what counts against a backend server, so that one that
// fails fast does not look like one that is fast.
func failed(r call.Result) bool {
	if r.Answer != nil {
		return r.Answer.Status >= 500
	}
	switch r.Refusal.Kind {
	case errkind.BackendUnreachable, errkind.BackendFailed, errkind.AnswerCut, errkind.LinkLost, errkind.LinkUnavailable:
		return true
	}
	return false
}
