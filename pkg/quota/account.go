package quota

import (
	"math"
	"time"
)

// account is a daemon's state for one team: the tokens granted to the daemon and the
// requests that wait for a token.
type account struct {
	team  string
	group int
	// tokenExpiries holds the expiry time of each unused token, earliest first.
	tokenExpiries []int64
	// waiters holds the waiting requests, longest wait first.
	waiters []*waiter
	// requested counts the tokens requested from the counter and not answered yet.
	requested uint32
	// toReturn counts the tokens to return with the next token request.
	toReturn uint32
	// exhaustedUntil is the time before which the counter has no token for the team,
	// according to its last grant.
	exhaustedUntil int64
	// deferredUntil is the time before which no tokens are requested again, because the
	// counter did not know whether the limit was used. maxWaiting is the number of requests
	// that may wait until then.
	deferredUntil int64
	maxWaiting    int
	// recent counts the requests of the team in the current askInterval, previous those
	// in the one before.
	recent, previous int
	// returnTimes holds those for callers over the limit.
	returnTimes returnTimes
}

// waiter is a request that waits for a token.
type waiter struct{ verdict chan Verdict }

// Verdict is the result of a request for a token.
type Verdict struct {
	Granted bool
	// Unsure is true if it is unknown whether the team is within its limit: no counter that
	// knows it answered before the wait ended, or more requests wait than can be served.
	Unsure bool
	// RetryAfter is the time after which the caller should try again, if the team is over
	// its limit.
	RetryAfter time.Duration
}

// spend takes one unexpired token. It returns false if there is none.
func (a *account) spend(now int64) bool {
	a.expire(now)
	if len(a.tokenExpiries) == 0 {
		return false
	}
	a.tokenExpiries = a.tokenExpiries[1:]
	return true
}

// expire marks expired tokens for return to the counter.
func (a *account) expire(now int64) {
	for len(a.tokenExpiries) > 0 && a.tokenExpiries[0] <= now {
		a.tokenExpiries = a.tokenExpiries[1:]
		a.toReturn++
	}
}

// prefetch returns how many tokens to request beyond those needed now: half of the
// team's requests in the busier of the current and the previous askInterval. A busy team
// then rarely waits for a round trip, and few tokens stay unused.
func (a *account) prefetch() uint32 { return uint32(max(a.recent, a.previous) / 2) }

// applyGrant adds granted tokens and answers waiting requests. fromCurrent is true if
// the grant comes from the process that currently counts the group.
func (a *account) applyGrant(now int64, grant *TokenGrant, fromCurrent bool) {
	for range grant.Count {
		a.tokenExpiries = append(a.tokenExpiries, grant.AskedAt+int64(tokenTTL))
	}
	if fromCurrent {
		a.requested -= min(a.requested, grant.Requested)
		a.returnTimes.add(now, grant)
	}
	retryAfter := time.Duration(grant.WaitMS) * time.Millisecond
	for len(a.waiters) > 0 && a.spend(now) {
		a.answerFirst(Verdict{Granted: true})
	}
	if grant.NoShareYet {
		// A later round requests the tokens again.
		a.deferredUntil, a.maxWaiting = now+int64(shareRetryInterval), math.MaxInt
		if fromCurrent && grant.MaxWaiting > 0 {
			a.limitWaiting(int(grant.MaxWaiting) - 1)
		}
		return
	}
	a.deferredUntil = 0
	if grant.Count >= grant.Requested {
		// The counter has not said that it has no more tokens. A later round requests those
		// of the other waiting requests.
		return
	}
	a.exhaustedUntil = now + int64(retryAfter)
	// Requests whose tokens were requested and not answered yet keep waiting.
	for len(a.waiters) > int(a.requested) {
		a.answerFirst(Verdict{RetryAfter: retryAfter})
	}
}

// limitWaiting sets how many requests may wait, and answers the latest of those
// beyond. Requests whose tokens were requested and not answered yet keep waiting.
func (a *account) limitWaiting(limit int) {
	a.maxWaiting = limit
	for len(a.waiters) > limit+int(a.requested) {
		last := len(a.waiters) - 1
		a.waiters[last].verdict <- Verdict{Unsure: true}
		a.waiters = a.waiters[:last]
	}
}

// answerFirst sends a verdict to the request that has waited longest.
func (a *account) answerFirst(v Verdict) {
	first := a.waiters[0]
	a.waiters = a.waiters[1:]
	first.verdict <- v
}

// remove removes a waiting request. It returns false if the request has already been
// answered.
func (a *account) remove(w *waiter) bool {
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// tokenRequest builds the request for the tokens that are missing, and returns unused
// ones with it.
func (a *account) tokenRequest(now int64) TokenRequest {
	a.toReturn += a.returnTimes.expire(now)
	out := TokenRequest{Team: a.team, Returned: a.toReturn, AskedAt: now}
	missing := len(a.waiters) - int(a.requested)
	if missing > 0 {
		out.Count = uint32(missing)
		if a.deferredUntil == 0 {
			out.Count += a.prefetch()
		}
	}
	out.Refused = a.returnTimes.wanted(now, missing)
	a.requested += out.Count
	a.toReturn = 0
	return out
}

// idle reports whether the account can be dropped: it has no tokens, no waiting or recent
// requests and nothing outstanding.
func (a *account) idle() bool {
	return len(a.tokenExpiries)+len(a.waiters)+a.recent+a.previous+len(a.returnTimes.reserved) == 0 && a.requested+a.toReturn == 0
}
