package callers

import "sync"

// callerLimiter limits the number of calls in flight for each caller's IP address.
type callerLimiter struct {
	limit    int
	mu       sync.Mutex
	inFlight map[string]int
}

func newCallerLimiter(limit int) *callerLimiter {
	return &callerLimiter{limit: limit, inFlight: map[string]int{}}
}

// acquire counts one more call of the caller. It returns false where the caller is at
// its limit.
func (l *callerLimiter) acquire(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[caller] >= l.limit {
		return false
	}
	l.inFlight[caller]++
	return true
}

// release counts one call less after a successful acquire.
func (l *callerLimiter) release(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[caller]--
	if l.inFlight[caller] == 0 {
		delete(l.inFlight, caller)
	}
}
