// Package below keeps a backend server from starting runs that fail because the calls
// they make are refused. Such a run has held its slot for nothing, may not run again
// where it must run at most once, and has used up starts of the called service for
// those of its calls that were taken. Route by route it bounds the share of requests
// that are let in, as congestion control does: less after each run that failed so,
// more after each that went well. Source: docs/design/cold-service.md.
package below

import "sync"

const (
	// cut is what remains of the share after a run that failed, and raise what is
	// added after one that went well. With calls for 50 of 120 runs a second
	// (TestScarceCalls) some 35 go well and 8 fail; with a cut to 0.8 36 and 17,
	// raised by 0.05 26 and 7; without a bound 21 and 99.
	cut   = 0.5
	raise = 0.1
	// least keeps some runs coming, which tell when the called service has room again.
	least = 0.1
	// mostRoutes bounds the routes that are followed.
	mostRoutes = 4096
)

// Shares holds the share of each route that is let in. It is safe for concurrent use.
type Shares struct {
	mu      sync.Mutex
	byRoute map[string]float64
	// refused is when a call was last refused that a run made.
	refused int64
}

// NewShares lets all in.
func NewShares() *Shares { return &Shares{byRoute: map[string]float64{}} }

// Refused notes that a call of the backend server was refused.
func (s *Shares) Refused(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = now
}

// Share is the share of a route's requests that is let in.
func (s *Shares) Share(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if share, found := s.byRoute[route]; found {
		return share
	}
	return 1
}

// Ended takes over how a run ended that began at a time. Only a failure with a call
// refused in its time counts against its route.
func (s *Shares) Ended(route string, began int64, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share, found := s.byRoute[route]
	switch {
	case failed && s.refused >= began && s.refused != 0:
		s.cut(route, share, found)
	case !failed && found && share+raise >= 1:
		delete(s.byRoute, route)
	case !failed && found:
		s.byRoute[route] = share + raise
	}
}

// cut lets fewer in.
func (s *Shares) cut(route string, share float64, found bool) {
	if !found {
		if len(s.byRoute) >= mostRoutes {
			return
		}
		share = 1
	}
	s.byRoute[route] = max(share*cut, least)
}
