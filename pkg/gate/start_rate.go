package gate

import "time"

const (
	// startBurstTime and startBurstMin give the size of the token bucket of a limited
	// backend server: the starts of startBurstTime and startBurstMin more. With it, four
	// seconds that three restarts of the daemon fall into bring less than one and a half times
	// what the limit allows, and five starts more.
	startBurstTime = 500 * time.Millisecond
	startBurstMin  = 1
	// minStartRate is the least rate at which jobs start, in starts per second. Only
	// responses show that a limit has ended, so that even a limit of 0 needs some.
	minStartRate = 0.2
)

// startRate is a token bucket that limits the rate of starts to that which the backend
// server takes from all entries together. As all of them send through this gate, it counts
// alone. Source: docs/design/rate-limits.md.
type startRate struct {
	// reported is true once the backend server has responded. Until then, the limit is that
	// which senders know from the process of the daemon before this one.
	reported bool
	limited  bool
	// perSecond is the rate at which tokens are added, that of the last limit if there is none
	// now, and burst the most that there are. Starts take tokens also while there is no limit,
	// down to -burst, so that a limit that ends and begins again within a moment allows no more.
	perSecond, burst float64
	tokens           float64
	updatedAt        int64
}

// report applies what the backend server says: a limit in requests per second, or none.
func (s *startRate) report(now int64, perSecond float64, limited bool) {
	s.reported = true
	if !limited {
		s.limited = false
		return
	}
	s.setLimit(now, perSecond)
}

// assume applies a limit that a sender knows, until the backend server has responded.
func (s *startRate) assume(now int64, perSecond float64) {
	if perSecond > 0 && !s.reported && !s.limited {
		s.setLimit(now, perSecond)
	}
}

func (s *startRate) setLimit(now int64, perSecond float64) {
	s.advance(now)
	first := s.perSecond == 0
	s.limited, s.perSecond = true, max(perSecond, minStartRate)
	s.burst = startBurstMin + s.perSecond*startBurstTime.Seconds()
	if first {
		s.tokens = s.burst
	}
	s.tokens = min(s.tokens, s.burst)
}

// advance adds the tokens of the time since the last call.
func (s *startRate) advance(now int64) {
	elapsed := time.Duration(max(now-s.updatedAt, 0))
	s.updatedAt = max(s.updatedAt, now)
	s.tokens = min(s.tokens+s.perSecond*elapsed.Seconds(), s.burst)
}

// record takes the token of a start.
func (s *startRate) record(now int64) {
	s.advance(now)
	s.tokens = max(s.tokens-1, -s.burst)
}

// available returns how many jobs may start now when ahead other jobs start before them. It
// is negative if some of those have to wait, too.
func (s *startRate) available(now int64, ahead int) float64 {
	s.advance(now)
	return s.tokens - float64(ahead)
}

// wait returns how long a job waits for its start when ahead other jobs start before it;
// 0: it may start now.
func (s *startRate) wait(now int64, ahead int) time.Duration {
	if !s.limited {
		return 0
	}
	missing := 1 - s.available(now, ahead)
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that a job that waited for that time finds its token.
	return time.Duration(missing/s.perSecond*float64(time.Second)) + 1
}

// SetRateLimit sets how many jobs the backend server takes per second from all entries
// together, or, if limited is false, that it takes any number. It returns the jobs that the
// owner must start now.
func (g *Gate) SetRateLimit(now int64, perSecond float64, limited bool) []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startRate.report(now, perSecond, limited)
	return g.startWaiting(now)
}
