package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// server is a fake executor: it ends each call in the same way, after a time.
type server struct {
	after     time.Duration
	result    call.Result
	calls     int
	cancelled int
}

func (s *server) Execute(_ *wire.Call, _ []byte, done func(call.Result)) func() {
	s.calls++
	result := s.result
	result.FromExecutor = result.Refusal == nil || result.Refusal.Kind != errkind.LinkLost
	time.AfterFunc(s.after, func() { done(result) })
	return func() { s.cancelled++ }
}

func answers(after time.Duration) *server {
	return &server{after: after, result: call.Result{Answer: &call.Answer{Status: 200, Body: []byte("ok")}}}
}

func refuses(kind errkind.Kind) *server { return &server{result: call.Refused(kind, "test")} }

// inOrder tries candidates in their order.
type inOrder struct{}

func (inOrder) Choose(req *choose.Request, _ choose.Random) choose.Pick {
	for i := range req.CandidateSet {
		if !req.Excluded.Has(i) {
			return choose.Pick{Index: i, MaxCost: time.Second}
		}
	}
	return choose.Pick{Index: choose.NoCandidate}
}

// sealer is a fake that says how seals end.
type sealer struct {
	result call.Result
	calls  int
}

func (s *sealer) Seal(*wire.Call, []byte, *errkind.Error) call.Result {
	s.calls++
	return s.result
}

// newEntry makes an entry with one service "s" and a kind, over servers.
func newEntry(kind placement.Kind, seal Sealer, servers ...*server) *Entry {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	kind.Name, kind.Path, kind.DataCentres = "k", "/*", []string{"here"}
	compiled := placement.Compile(&placement.Document{Version: 1, Services: []placement.Service{{Name: "s", Kinds: []placement.Kind{kind}}}})
	w := tables.NewWorld("vm", "here")
	view := &tables.KindView{Kind: compiled.Service("s").Kinds[0]}
	for i, runner := range servers {
		route := &tables.Endpoint{VM: fmt.Sprint("server-", i), Load: tables.NewLoad(4)}
		route.SetRunner(runner)
		view.LinkedCandidates = append(view.LinkedCandidates, tables.Candidate{Endpoint: route, Load: route.Load})
	}
	w.View.SetPlacement(compiled)
	w.View.SetService("s", tables.NewServiceView(compiled.Service("s"), []*tables.KindView{view}))
	w.View.SetReady()
	return NewEntry(common.NewCommon(events.Discard(), &s), w, inOrder{}, seal)
}

func run(t *testing.T, e *Entry, key string) call.Result {
	plan, misplaced, refusal := e.Admit(context.Background(), &Request{Service: "s", Method: "GET", URI: "/a", IdempotencyKey: key})
	must.Nil(t, refusal)
	must.Nil(t, misplaced)
	return e.Run(context.Background(), plan, nil)
}

func TestWhatIsTriedAgain(t *testing.T) {
	never := placement.Kind{NeverRepeat: true}
	optional := placement.Kind{NeverRepeat: true, Key: placement.KeyOptional}
	scenarios := []struct {
		name  string
		kind  placement.Kind
		key   string
		first *server
		// seal is how a seal ends, where one is tried.
		seal  call.Result
		want  errkind.Kind
		ran   errkind.Ran
		calls int
		seals int
	}{
		{name: "not run goes elsewhere", first: refuses(errkind.Leaving), want: errkind.None, calls: 1},
		{name: "busier than believed goes elsewhere", first: refuses(errkind.GateBusier), want: errkind.None, calls: 1},
		{name: "maybe stays", first: refuses(errkind.LinkLost), want: errkind.LinkLost, ran: errkind.RanMaybe},
		{name: "the backend server broke off", first: refuses(errkind.BackendFailed), want: errkind.BackendFailed, ran: errkind.RanMaybe},
		{name: "not run goes elsewhere, never-repeat", kind: never, key: "k", first: refuses(errkind.Overloaded), want: errkind.None, calls: 1},
		{name: "silence is sealed, and then tried elsewhere", kind: never, key: "k", first: refuses(errkind.LinkLost),
			seal: call.Result{Refusal: errkind.New(errkind.KeyMoved, ""), NextClaim: wire.Claim{Version: 1, Generation: 2}}, want: errkind.None, calls: 1, seals: 1},
		{name: "silence after a run stays a maybe", kind: never, key: "k", first: refuses(errkind.LinkLost),
			seal: call.Refused(errkind.KeyInProgress, ""), want: errkind.KeyInProgress, ran: errkind.RanMaybe, seals: 1},
		{name: "without a key it is sent once", kind: optional, first: refuses(errkind.Overloaded), want: errkind.Overloaded},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			second, seal := answers(0), &sealer{result: s.seal}
			e := newEntry(s.kind, seal, s.first, second)
			// The first is chosen again after a soft refusal; let it be tried.
			if s.first.result.Refusal.Kind == errkind.GateBusier {
				s.first.result = call.Refused(errkind.Leaving, "now it leaves")
			}
			result := run(t, e, s.key)
			test.Eq(t, s.calls, second.calls)
			test.Eq(t, s.seals, seal.calls)
			if s.want == errkind.None {
				test.NotNil(t, result.Answer)
				return
			}
			must.NotNil(t, result.Refusal)
			test.Eq(t, s.want, result.Refusal.Kind)
			test.Eq(t, s.ran, result.Refusal.Ran)
		})
	}
}

func TestHedgesGoOnlyWhereTheyAreSafe(t *testing.T) {
	scenarios := []struct {
		name   string
		kind   placement.Kind
		key    string
		slow   time.Duration
		hedged int
	}{
		{"a slow call of a safe kind", placement.Kind{HedgeSafe: true}, "", time.Second, 1},
		{"a fast call of a safe kind", placement.Kind{HedgeSafe: true}, "", time.Millisecond, 0},
		{"a slow call of a kind that is not safe", placement.Kind{}, "", time.Second, 0},
		// The placement refuses this pair; the entry does not rely on it.
		{"a never-repeat kind", placement.Kind{HedgeSafe: true, NeverRepeat: true}, "k", time.Second, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := answers(s.slow), answers(time.Millisecond)
				e := newEntry(s.kind, &sealer{}, first, second)
				result := run(t, e, s.key)
				test.NotNil(t, result.Answer)
				test.Eq(t, s.hedged, second.calls)
				test.Eq(t, s.hedged, first.cancelled)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func TestARefusedHedgeSettlesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := answers(time.Second), refuses(errkind.GateBusier)
		e := newEntry(placement.Kind{HedgeSafe: true}, &sealer{}, first, second)
		result := run(t, e, "")
		test.Eq(t, 1, second.calls)
		must.NotNil(t, result.Answer)
		test.Eq(t, "ok", string(result.Answer.Body))
	})
}

func TestHedgesKeepTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := answers(time.Second), answers(time.Second)
		e := newEntry(placement.Kind{HedgeSafe: true}, &sealer{}, first, second)
		const calls = 200
		for range calls {
			run(t, e, "")
		}
		floor := e.Settings.Retries.BudgetFloor
		test.LessEq(t, floor+int(calls*e.Settings.Retries.HedgeBudget)+1, int(e.Counts().Hedges))
		time.Sleep(2 * time.Second)
	})
}

func TestADeadlineIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(placement.Kind{Timeout: 300 * time.Millisecond}, &sealer{}, answers(time.Hour))
		began := time.Now()
		result := run(t, e, "")
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.DeadlineWhileRunning, result.Refusal.Kind)
		test.Eq(t, errkind.RanMaybe, result.Refusal.Ran)
		test.Eq(t, 300*time.Millisecond+grace, time.Since(began))
		time.Sleep(time.Hour)
	})
}

// level is a backend server that calls the next service through its own entry,
// and answers 503 when that was refused, as applications do.
type level struct{ next *Entry }

func (l *level) Execute(_ *wire.Call, _ []byte, done func(call.Result)) func() {
	plan, _, refusal := l.next.Admit(context.Background(), &Request{Service: "s", Method: "GET", URI: "/a"})
	status := 503
	if refusal == nil {
		if r := l.next.Run(context.Background(), plan, nil); r.Answer != nil {
			status = r.Answer.Status
		}
	}
	done(call.Result{Answer: &call.Answer{Status: status}, FromExecutor: true})
	return func() {}
}

// TestRetriesDoNotMultiplyOverDepth offers calls to a chain of 29 services
// whose last one refuses all as overloaded.
func TestRetriesDoNotMultiplyOverDepth(t *testing.T) {
	const depth, offered = 29, 1000
	bottom := []*server{refuses(errkind.Overloaded), refuses(errkind.Overloaded), refuses(errkind.Overloaded)}
	e := newEntry(placement.Kind{}, &sealer{}, bottom...)
	for range depth - 1 {
		above := newEntry(placement.Kind{}, &sealer{}, answers(0))
		view := above.view.Service("s").Match("GET", "/a")
		view.LinkedCandidates[0].Endpoint.SetRunner(&level{next: e})
		e = above
	}
	for range offered {
		test.Eq(t, 503, run(t, e, "").Answer.Status)
	}
	reached := 0
	for _, s := range bottom {
		reached += s.calls
	}
	t.Logf("%d calls reached the bottom for %d offered", reached, offered)
	test.LessEq(t, offered*11/10, reached)
}

// TestACallThatEndsBackendServersIsHeldBack: nobody is asked, and the caller is told when
// it may come again.
func TestACallThatEndsBackendServersIsHeldBack(t *testing.T) {
	one := answers(0)
	e := newEntry(placement.Kind{}, nil, one)
	must.NotNil(t, run(t, e, "").Answer)
	content := (&wire.Call{Service: "s", Method: "GET", URI: "/a"}).Fingerprint(nil)
	for id := range uint64(2) {
		e.Quarantine.RecordCrash(e.Now(), id+1, []quarantine.Fingerprint{content})
	}
	got := run(t, e, "")
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Greater(t, 9*time.Minute, got.RetryAfter)
	test.Eq(t, 1, one.calls)
}
