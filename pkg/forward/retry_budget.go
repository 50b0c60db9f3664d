package forward

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/utils"
)

// budget holds one service's retries at this entry. All daemons together may
// use a share of the service's requests and a fixed number besides in each
// window; each daemon spends its own part of both, so nobody has to be asked:
// it saves up at most its part of the fixed number, and earns by its requests.
type budget struct {
	ratio float64
	slack float64
	// daemons counts those that share the slack.
	daemons func() int

	mu     sync.Mutex
	tokens float64
	begun  bool
	// empty is true since a retry was not allowed.
	empty bool
}

// most is how many retries may be saved up.
func (b *budget) most() float64 { return max(b.slack/float64(max(b.daemons(), 1)), 1) }

// request earns for one request of the service.
func (b *budget) request() { b.earn(1) }

// earn earns for a share of a request.
func (b *budget) earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun {
		b.begun, b.tokens = true, b.most()
	}
	b.tokens = min(b.tokens+share*b.ratio, b.most())
}

// take spends one retry; false when none is left.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// mostDebt bounds what charges may leave a service owing at one entry, in
// retries: a quarter of the calls that one backend server of the users' largest
// site makes to another service in ten seconds, which is eight a second. More
// would hold retries back for longer than the platform's window.
const mostDebt = 20

// call takes over a call that a backend server makes in the middle of a run. With the
// share of its runs that repeat others elsewhere it is a repeat, and no request.
func (b *budget) call(repeats float64) {
	b.earn(1 - repeats)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = max(b.tokens-repeats, -mostDebt)
}

// left is how many retries are saved up.
func (b *budget) left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// noteEmpty is true for the first retry that found the budget empty since one
// was allowed.
func (b *budget) noteEmpty(empty bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := empty && !b.empty
	b.empty = empty
	return first
}

// budgets holds the budget of each service.
type budgets struct {
	*common.Common
	daemons func() int
	mu      sync.Mutex
	byName  map[string]*budget
}

func newBudgets(c *common.Common, daemons func() int) *budgets {
	return &budgets{Common: c, daemons: daemons, byName: map[string]*budget{}}
}

func (b *budgets) of(service string) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.byName[service]
	if found == nil {
		s := b.Settings.Routing
		found = &budget{ratio: s.RetryRatio, slack: float64(s.RetrySlack), daemons: b.daemons}
		b.byName[service] = found
		b.Metrics.GetOrCreateGauge(`rushramp_retry_budget{service="`+utils.Label(service)+`"}`, found.left)
	}
	return found
}

// take spends one retry of a service, and logs when the budget begins to be empty.
func (b *budgets) take(service string) bool {
	found := b.of(service)
	taken := found.take()
	if found.noteEmpty(!taken) {
		b.Log.Event(events.RetryBudgetEmpty, events.F("service", service), events.F("daemons", b.daemons()))
	}
	return taken
}
