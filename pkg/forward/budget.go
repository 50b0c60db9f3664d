package forward

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/settings"
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
}

// most is how many retries may be saved up.
func (b *budget) most() float64 { return max(b.slack/float64(max(b.daemons(), 1)), 1) }

// request earns for one request of the service.
func (b *budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun {
		b.begun, b.tokens = true, b.most()
	}
	b.tokens = min(b.tokens+b.ratio, b.most())
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

// budgets holds the budget of each service.
type budgets struct {
	settings settings.Routing
	daemons  func() int
	mu       sync.Mutex
	byName   map[string]*budget
}

func newBudgets(s settings.Routing, daemons func() int) *budgets {
	return &budgets{settings: s, daemons: daemons, byName: map[string]*budget{}}
}

func (b *budgets) of(service string) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.byName[service]
	if found == nil {
		found = &budget{
			ratio: b.settings.RetryRatio, slack: float64(b.settings.RetrySlack), daemons: b.daemons,
		}
		b.byName[service] = found
	}
	return found
}
