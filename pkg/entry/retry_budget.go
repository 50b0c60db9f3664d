package entry

import (
	"context"
	"sync"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/retries"
)

// retryBudget limits the retries and hedges of one service at this entry. Each good
// answer earns a share of both. A service that fails as a whole earns nothing, so retries
// cannot multiply its load.
type retryBudget struct {
	*common.Common
	service string
	retries *retries.Budget
	hedges  *retries.Budget
}

// refill earns a share of a retry and of a hedge for a call that the backend server answered
// without a server error. Other results earn nothing.
func (b *retryBudget) refill(r call.Result) {
	if r.Answer == nil || r.Answer.Status >= 500 {
		return
	}
	now := b.Now()
	b.retries.Add(now, 1)
	b.hedges.Add(now, 1)
}

// takeRetry takes one retry, from this daemon's balance or from the slack of its group. It
// returns false when there is none.
func (b *retryBudget) takeRetry(ctx context.Context) bool {
	now := b.Now()
	return b.retries.Take(now) || b.retries.SharesSlack() && b.Retries.Take(ctx, now, retries.Own, b.service)
}

// takeHedge takes one hedge. It returns false when there is none.
func (b *retryBudget) takeHedge() bool { return b.hedges.Take(b.Now()) }

// retryBudgets holds the budget of each service, by the service's name.
type retryBudgets struct {
	*common.Common
	daemons   func() int
	byService sync.Map
}

func newRetryBudgets(c *common.Common, daemons func() int) *retryBudgets {
	return &retryBudgets{Common: c, daemons: daemons}
}

// forService returns the budget of a service, and makes it on the first call.
func (rb *retryBudgets) forService(service string) *retryBudget {
	if b, ok := rb.byService.Load(service); ok {
		return b.(*retryBudget)
	}
	s := rb.Settings.Retries
	b, _ := rb.byService.LoadOrStore(service, &retryBudget{
		Common: rb.Common, service: service,
		retries: rb.Retries.NewBudget(s.Budget, float64(s.BudgetFloor), rb.daemons),
		hedges:  rb.Retries.NewBudget(s.HedgeBudget, float64(s.BudgetFloor), rb.daemons),
	})
	return b.(*retryBudget)
}
