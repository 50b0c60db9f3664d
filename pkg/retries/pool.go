package retries

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a kind of requests with a slack of its own.
type Class uint8

// The classes of requests.
const (
	// Routed are requests on routes of the users' platform.
	Routed Class = iota
	// Own are calls of rushramp's own interface.
	Own
	// Classes is the number of classes.
	Classes
)

const (
	// askTimeout is how long a daemon waits for the answer of the one that grants its group's
	// slack: a few round trips between data centres.
	askTimeout = 60 * time.Millisecond
	// askPause is how long a daemon asks for no retry of a service after it got none.
	askPause = 200 * time.Millisecond
)

// Ask asks the daemon that grants a group's slack for one retry.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Class   Class
	Service string
}

// Grant is the answer to an Ask.
type Grant struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
}

// Share is this daemon's place in the groups that share the slack of one class.
type Share struct {
	// Ask sends an ask to the daemon that grants the slack of this daemon's group; nil if
	// there is no link to it. It is not used if Self is true.
	Ask func(ask *Ask)
	// Self is true if this daemon grants the slack of its own group.
	Self bool
	// Held is the number of retries that this daemon grants in each window, per service; 0:
	// none.
	Held int
}

// service names a service of a class.
type service struct {
	class Class
	name  string
}

// Pool gives retries from the slack of this daemon's group, and grants those of the groups
// whose slack this daemon holds. It is safe for concurrent use.
type Pool struct {
	window    int64
	restarted bool
	random    func() float64
	shares    [Classes]atomic.Pointer[Share]

	mu sync.Mutex
	// granted holds the times of the retries granted in the last window.
	granted map[service][]int64
	// askAgainAt is when this daemon may ask again for a service.
	askAgainAt map[service]int64
	lastID     uint64
	waiting    map[uint64]chan bool
}

// NewPool returns a pool without shares. restarted is true when an earlier process of the
// daemon may have used its part of the slack, random returns random numbers from 0 up to 1.
func NewPool(window time.Duration, restarted bool, random func() float64) *Pool {
	return &Pool{window: int64(window), restarted: restarted, random: random, granted: map[service][]int64{}, askAgainAt: map[service]int64{}, waiting: map[uint64]chan bool{}}
}

// NewBudget returns the budget of one service at this daemon, which shares the window and the
// start of the daemon with the pool. daemons is Options.Daemons.
func (p *Pool) NewBudget(ratio, slack float64, daemons func() int) *Budget {
	return NewBudget(Options{Ratio: ratio, Slack: slack, Window: time.Duration(p.window), Daemons: daemons, Restarted: p.restarted, Random: p.random})
}

// Window returns the time in which retries are counted.
func (p *Pool) Window() time.Duration { return time.Duration(p.window) }

// Restarted reports whether an earlier process of the daemon may have used its part of the
// slack.
func (p *Pool) Restarted() bool { return p.restarted }

// SetShare sets this daemon's place in the groups of a class.
func (p *Pool) SetShare(class Class, share Share) { p.shares[class].Store(&share) }

// Held returns the number of retries that this daemon grants in each window, per service.
func (p *Pool) Held(class Class) int {
	if share := p.shares[class].Load(); share != nil {
		return share.Held
	}
	return 0
}

// CanTake reports whether Take may give a retry.
func (p *Pool) CanTake(now int64, class Class, name string) bool {
	share := p.shares[class].Load()
	if share == nil || !share.Self && share.Ask == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now >= p.askAgainAt[service{class, name}]
}

// Take takes one retry of a service from the slack of this daemon's group. It waits for the
// daemon that grants it, and returns false if that does not answer in time.
func (p *Pool) Take(ctx context.Context, now int64, class Class, name string) bool {
	if !p.CanTake(now, class, name) {
		return false
	}
	share := p.shares[class].Load()
	granted := false
	if share.Self {
		granted = p.grant(now, class, name, share.Held)
	} else {
		granted = p.ask(ctx, share, class, name)
	}
	if !granted {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.askAgainAt[service{class, name}] = now + int64(askPause)
	}
	return granted
}

// ask sends an ask and waits for the grant.
func (p *Pool) ask(ctx context.Context, share *Share, class Class, name string) (granted bool) {
	answer := make(chan bool, 1)
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	p.waiting[id] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waiting, id)
	}()
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	share.Ask(&Ask{ID: id, Class: class, Service: name})
	select {
	case granted = <-answer:
		return granted
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// HandleAsk answers the ask of another daemon.
func (p *Pool) HandleAsk(now int64, ask *Ask) Grant {
	out := Grant{ID: ask.ID}
	if ask.Class >= Classes {
		return out
	}
	if share := p.shares[ask.Class].Load(); share != nil {
		out.Granted = p.grant(now, ask.Class, ask.Service, share.Held)
	}
	return out
}

// HandleGrant handles the answer to an ask of this daemon.
func (p *Pool) HandleGrant(grant *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer, waiting := p.waiting[grant.ID]; waiting {
		answer <- grant.Granted
		delete(p.waiting, grant.ID)
	}
}

// maxServices bounds the services whose grants are remembered. Beyond it no retry of a
// further service is granted until the window of another one has passed.
const maxServices = 4096

// grant grants one retry if less than held were granted in the last window.
func (p *Pool) grant(now int64, class Class, name string, held int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := service{class, name}
	recent := p.granted[key]
	for len(recent) > 0 && now-recent[0] >= p.window {
		recent = recent[1:]
	}
	if len(recent) >= held || len(recent) == 0 && !p.hasRoom(now) {
		p.granted[key] = recent
		if len(recent) == 0 {
			delete(p.granted, key)
		}
		return false
	}
	p.granted[key] = append(recent, now)
	return true
}

// hasRoom reports whether the grants of one more service may be remembered, and forgets
// services without grants in the last window.
func (p *Pool) hasRoom(now int64) bool {
	if len(p.granted) < maxServices {
		return true
	}
	for key, times := range p.granted {
		if len(times) == 0 || now-times[len(times)-1] >= p.window {
			delete(p.granted, key)
		}
	}
	return len(p.granted) < maxServices
}
