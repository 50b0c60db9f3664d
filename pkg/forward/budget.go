package forward

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/settings"
)

// budget holds one service's retries at this entry. All daemons together may
// use a share of the service's requests and a fixed number besides in each
// window; each daemon spends its own part of both, so nobody has to be asked.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// daemons counts those that share the slack.
	daemons func() int

	mu     sync.Mutex
	tokens float64
	at     int64
	begun  bool
}

// most is how many retries may be saved up.
func (b *budget) most() float64 { return b.slack / float64(max(b.daemons(), 1)) }

// flow adds what has come in since the last look.
func (b *budget) flow(now int64) {
	most := b.most()
	if !b.begun {
		b.begun, b.at, b.tokens = true, now, most
		return
	}
	// Half of the slack may be saved up, and half flows in over a window, so
	// that no window holds more than the whole.
	b.tokens = min(b.tokens+most/2*float64(now-b.at)/float64(b.window), most/2)
	b.at = now
}

// request earns for one request of the service.
func (b *budget) request(now int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flow(now)
	b.tokens = min(b.tokens+b.ratio, max(b.most()/2, 1))
}

// take spends one retry; false when none is left.
func (b *budget) take(now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flow(now)
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
			ratio: b.settings.RetryRatio, slack: float64(b.settings.RetrySlack),
			window: b.settings.RetryWindow, daemons: b.daemons,
		}
		b.byName[service] = found
	}
	return found
}
