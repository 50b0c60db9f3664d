package entry

import (
	"sync"
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/settings"
)

// tokenUnit is the fixed-point form of one retry.
const tokenUnit = 1 << 20

// budget holds the retries and hedges of one service at this entry: answers earn a
// share of one each, retries and hedges spend it. When a service fails as a whole
// nothing is earned, so retries cannot multiply its load.
type budget struct {
	retries bucket
	hedges  bucket
}

func newBudget(s settings.Retries) *budget {
	b := &budget{}
	b.retries.init(s.Budget, s.BudgetFloor)
	b.hedges.init(s.HedgeBudget, s.BudgetFloor)
	return b
}

// answered earns for a call that the backend server answered.
func (b *budget) answered(r call.Result) {
	if r.Answer == nil || r.Answer.Status >= 500 {
		return
	}
	b.retries.add()
	b.hedges.add()
}

// take spends one retry; false when none is left.
func (b *budget) take() bool { return b.retries.take() }

// takeHedge spends one hedge; false when none is left.
func (b *budget) takeHedge() bool { return b.hedges.take() }

// bucket holds tokens in fixed point.
type bucket struct {
	tokens atomic.Int64
	earn   int64
	most   int64
}

func (b *bucket) init(share float64, floor int) {
	b.earn = int64(share * tokenUnit)
	b.most = int64(floor) * tokenUnit
	b.tokens.Store(b.most)
}

func (b *bucket) add() {
	if b.tokens.Load() < b.most {
		b.tokens.Add(b.earn)
	}
}

func (b *bucket) take() bool {
	for {
		have := b.tokens.Load()
		if have < tokenUnit {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-tokenUnit) {
			return true
		}
	}
}

// budgets holds the budget of each service.
type budgets struct {
	settings settings.Retries
	byName   sync.Map
}

func newBudgets(s settings.Retries) *budgets { return &budgets{settings: s} }

func (bu *budgets) of(service string) *budget {
	if b, ok := bu.byName.Load(service); ok {
		return b.(*budget)
	}
	b, _ := bu.byName.LoadOrStore(service, newBudget(bu.settings))
	return b.(*budget)
}
