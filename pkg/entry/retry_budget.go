package entry

import (
	"sync"
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/settings"
)

// tokenUnit is one token, which pays for one retry or hedge, in fixed point.
const tokenUnit = 1 << 20

// retryBudget limits the retries and hedges of one service at this entry. Each good
// answer adds a share of a token to both buckets, and each retry or hedge takes one. A
// service that fails as a whole adds nothing, so retries cannot multiply its load.
type retryBudget struct {
	retries tokenBucket
	hedges  tokenBucket
}

func newRetryBudget(s settings.Retries) *retryBudget {
	b := &retryBudget{}
	b.retries.init(s.Budget, s.BudgetFloor)
	b.hedges.init(s.HedgeBudget, s.BudgetFloor)
	return b
}

// refill adds tokens for a call that the backend server answered without a server
// error. Other results add nothing.
func (b *retryBudget) refill(r call.Result) {
	if r.Answer == nil || r.Answer.Status >= 500 {
		return
	}
	b.retries.add()
	b.hedges.add()
}

// takeRetry takes the token for one retry. It returns false when there is none.
func (b *retryBudget) takeRetry() bool { return b.retries.take() }

// takeHedge takes the token for one hedge. It returns false when there is none.
func (b *retryBudget) takeHedge() bool { return b.hedges.take() }

// tokenBucket holds tokens in fixed point. It begins full.
type tokenBucket struct {
	tokens    atomic.Int64
	perAnswer int64
	capacity  int64
}

// init sets the tokens that each answer adds, and the tokens that the bucket holds.
func (b *tokenBucket) init(perAnswer float64, capacity int) {
	b.perAnswer = int64(perAnswer * tokenUnit)
	b.capacity = int64(capacity) * tokenUnit
	b.tokens.Store(b.capacity)
}

func (b *tokenBucket) add() {
	if b.tokens.Load() < b.capacity {
		b.tokens.Add(b.perAnswer)
	}
}

func (b *tokenBucket) take() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < tokenUnit {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokenUnit) {
			return true
		}
	}
}

// retryBudgets holds the budget of each service, by the service's name.
type retryBudgets struct {
	settings  settings.Retries
	byService sync.Map
}

func newRetryBudgets(s settings.Retries) *retryBudgets { return &retryBudgets{settings: s} }

// forService returns the budget of a service, and makes it on the first call.
func (rb *retryBudgets) forService(service string) *retryBudget {
	if b, ok := rb.byService.Load(service); ok {
		return b.(*retryBudget)
	}
	b, _ := rb.byService.LoadOrStore(service, newRetryBudget(rb.settings))
	return b.(*retryBudget)
}
