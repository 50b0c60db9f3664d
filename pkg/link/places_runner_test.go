package link

import (
	"strings"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// placesRunner is a call.Offerer with any number of places, which answers at once with the
// body of the call. It refuses offered calls to "/refused".
type placesRunner struct {
	mu      sync.Mutex
	places  map[*testPlace]struct{}
	started []string
	// offered is the number of calls that were offered.
	offered int
}

func newPlacesRunner() *placesRunner { return &placesRunner{places: map[*testPlace]struct{}{}} }

// testPlace is the place of one call.
type testPlace struct {
	runner *placesRunner
	call   *wire.Call
	done   func(call.Result)
}

func (r *placesRunner) Execute(c *wire.Call, body []byte, done func(call.Result)) func() {
	r.mu.Lock()
	r.started = append(r.started, c.URI)
	r.mu.Unlock()
	return echo(c, body, done)
}

func (r *placesRunner) Offer(c *wire.Call, _ time.Duration, done func(call.Result)) call.Offered {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered++
	if strings.HasPrefix(c.URI, "/refused") {
		go done(call.Refused(errkind.Overloaded, "no place"))
		return nil
	}
	place := &testPlace{r, c, done}
	r.places[place] = struct{}{}
	return place
}

// take removes a place, and returns false if it was removed before.
func (p *testPlace) take() bool {
	p.runner.mu.Lock()
	defer p.runner.mu.Unlock()
	_, ok := p.runner.places[p]
	delete(p.runner.places, p)
	return ok
}

func (p *testPlace) Rank() uint16   { return p.call.Routed.Rank() }
func (p *testPlace) StartBy() int64 { return 0 }

func (p *testPlace) Start(body []byte) func() {
	if !p.take() {
		return func() {}
	}
	return p.runner.Execute(p.call, body, p.done)
}

func (p *testPlace) Withdraw(refusal *errkind.Error) {
	if p.take() {
		p.done(call.Result{Refusal: refusal})
	}
}

// drain releases all places, as when the executor stops.
func (r *placesRunner) drain() {
	r.mu.Lock()
	places := r.places
	r.places = map[*testPlace]struct{}{}
	r.mu.Unlock()
	for p := range places {
		p.done(call.Refused(errkind.Leaving, "the daemon is leaving"))
	}
}

func (r *placesRunner) startedCalls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.started...)
}

func (r *placesRunner) placeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.places)
}
