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
	self := &budget{}
	self.retries.init(s.Budget, s.BudgetFloor)
	self.hedges.init(s.HedgeBudget, s.BudgetFloor)
	return self
}

// answered earns for a call that the backend server answered.
func (self *budget) answered(r call.Result) {
	if r.Answer == nil || r.Answer.Status >= 500 {
		return
	}
	self.retries.add()
	self.hedges.add()
}

// take spends one retry; false when none is left.
func (self *budget) take() bool { return self.retries.take() }

// takeHedge spends one hedge; false when none is left.
func (self *budget) takeHedge() bool { return self.hedges.take() }

// bucket holds tokens in fixed point.
type bucket struct {
	tokens atomic.Int64
	earn   int64
	most   int64
}

func (self *bucket) init(share float64, floor int) {
	self.earn = int64(share * tokenUnit)
	self.most = int64(floor) * tokenUnit
	self.tokens.Store(self.most)
}

func (self *bucket) add() {
	if self.tokens.Load() < self.most {
		self.tokens.Add(self.earn)
	}
}

func (self *bucket) take() bool {
	for {
		have := self.tokens.Load()
		if have < tokenUnit {
			return false
		}
		if self.tokens.CompareAndSwap(have, have-tokenUnit) {
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

func (self *budgets) of(service string) *budget {
	if b, ok := self.byName.Load(service); ok {
		return b.(*budget)
	}
	b, _ := self.byName.LoadOrStore(service, newBudget(self.settings))
	return b.(*budget)
}
