package forward

import (
	"context"
	"sync"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/retries"
	"github.com/rushramp/rushramp/pkg/utils"
)

// retryBudget is the retry budget of one service at this entry.
type retryBudget struct {
	*retries.Budget
	now func() int64

	mu sync.Mutex
	// empty is true when the last attempt to take a retry failed.
	empty bool
}

// addRequest earns the share of a retry for one request of the service.
func (b *retryBudget) addRequest() { b.Add(b.now(), 1) }

// take takes one retry from the balance of this daemon.
func (b *retryBudget) take() bool { return b.Take(b.now()) }

// addCall adds a call that a backend server makes in the middle of a run. repeatShare
// is the share of that server's runs that repeat a run elsewhere: by that share the call
// is charged as a retry, and by the rest it counts as a request.
func (b *retryBudget) addCall(repeatShare float64) {
	b.Add(b.now(), 1-repeatShare)
	b.Charge(repeatShare)
}

// balance returns the number of retries that are left; it may be negative.
func (b *retryBudget) balance() float64 { return b.Balance() }

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
		found = &retryBudget{now: b.Now, Budget: b.Retries.NewBudget(s.RetryRatio, float64(s.RetrySlack), b.daemons)}
		b.byService[service] = found
		b.Metrics.GetOrCreateGauge(`rushramp_retry_budget{service="`+utils.Label(service)+`"}`, found.balance)
	}
	return found
}

// The parts of the budget that a refused retry was asked from: the values of the log field
// "budget_of".
const (
	budgetOfDaemon = "daemon"
	budgetOfGroup  = "group"
)

// take takes one retry from the budget of a service: from this daemon's balance or, where a
// group of daemons shares the slack, from that of its group. If there is none it returns the
// part that was asked last, and logs an event when the budget becomes empty.
func (b *retryBudgets) take(ctx context.Context, service string) (refusedBy string) {
	found := b.forService(service)
	if !found.take() {
		refusedBy = budgetOfDaemon
		if found.SharesSlack() {
			refusedBy = budgetOfGroup
			if b.Retries.Take(ctx, b.Now(), retries.Routed, service) {
				refusedBy = ""
			}
		}
	}
	if found.setEmpty(refusedBy != "") {
		b.Log.Event(events.RetryBudgetEmpty, events.F("service", service), events.F("daemons", b.daemons()), events.F("budget_of", refusedBy))
	}
	return refusedBy
}

// mayTake reports whether the budget of a service probably has a retry.
func (b *retryBudgets) mayTake(service string) bool {
	found, now := b.forService(service), b.Now()
	return found.CanTake(now) || found.SharesSlack() && b.Retries.CanTake(now, retries.Routed, service)
}
