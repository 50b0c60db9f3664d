package forward

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/utils"
)

// retryBudget limits the retries of one service at this entry. In each window, all
// daemons together may retry a share of the service's requests and, in addition, a fixed
// number, the slack. Daemons need not coordinate, because each has its own part of both:
// every request adds ratio to the daemon's balance, which is at most its part of the slack.
type retryBudget struct {
	// ratio is the number of retries that one request adds.
	ratio float64
	slack float64
	// daemons returns the number of daemons that share the slack.
	daemons func() int

	mu sync.Mutex
	// tokens is the balance in retries. It is negative while addCall has charged more
	// than was added.
	tokens float64
	// filled is true once the balance was set to the capacity, by the first request.
	filled bool
	// empty is true when the last attempt to take a retry failed.
	empty bool
}

// capacity returns the largest balance, in retries.
func (b *retryBudget) capacity() float64 {
	return max(b.slack/float64(max(b.daemons(), 1)), 1)
}

// addRequest adds ratio to the balance for one request of the service.
func (b *retryBudget) addRequest() { b.add(1) }

// add adds ratio to the balance for each of a number of requests, which may be a fraction.
func (b *retryBudget) add(requests float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.filled {
		b.filled, b.tokens = true, b.capacity()
	}
	b.tokens = min(b.tokens+requests*b.ratio, b.capacity())
}

// take takes one retry from the balance. It returns false when the balance is below one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxDebt limits how far charges may lower a balance below zero, in retries. It is a
// quarter of the calls that one backend server makes to another service in the ten
// seconds of the budget's window, at eight calls a second. A larger debt would
// prevent retries for longer than the window.
const maxDebt = 20

// addCall adds a call that a backend server makes in the middle of a run. repeatShare
// is the share of that server's runs that repeat a run elsewhere: by that share the call
// is charged as a retry, and by the rest it counts as a request.
func (b *retryBudget) addCall(repeatShare float64) {
	b.add(1 - repeatShare)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = max(b.tokens-repeatShare, -maxDebt)
}

// balance returns the number of retries that are left; it may be negative.
func (b *retryBudget) balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// setEmpty notes whether the budget was empty for the last retry. It returns true for
// the first retry that found it empty since one was allowed.
func (b *retryBudget) setEmpty(empty bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := empty && !b.empty
	b.empty = empty
	return first
}

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	*common.Common
	daemons   func() int
	mu        sync.Mutex
	byService map[string]*retryBudget
}

func newRetryBudgets(c *common.Common, daemons func() int) *retryBudgets {
	return &retryBudgets{Common: c, daemons: daemons, byService: map[string]*retryBudget{}}
}

// forService returns the budget of a service. The first call for a service makes the
// budget and its metric.
func (b *retryBudgets) forService(service string) *retryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.byService[service]
	if found == nil {
		s := b.Settings.Routing
		found = &retryBudget{ratio: s.RetryRatio, slack: float64(s.RetrySlack), daemons: b.daemons}
		b.byService[service] = found
		b.Metrics.GetOrCreateGauge(`rushramp_retry_budget{service="`+utils.Label(service)+`"}`, found.balance)
	}
	return found
}

// take takes one retry from the budget of a service. It returns false when the budget is
// empty, and logs an event when it becomes empty.
func (b *retryBudgets) take(service string) bool {
	found := b.forService(service)
	taken := found.take()
	if found.setEmpty(!taken) {
		b.Log.Event(events.RetryBudgetEmpty, events.F("service", service), events.F("daemons", b.daemons()))
	}
	return taken
}
