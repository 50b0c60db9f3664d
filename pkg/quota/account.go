package quota

import "time"

// account is what a daemon holds of one team: tokens that were granted to it, and the
// requests that wait for one.
type account struct {
	team  string
	group int
	// tokens are the times at which tokens end that no request has taken yet, the one
	// that ends first at the front.
	tokens  []int64
	waiting []*waiter
	// asked is how many tokens the counter was asked for and has not answered.
	asked uint32
	// back are tokens to give back with the next question.
	back uint32
	// shutUntil is until when the counter has no token, as it said.
	shutUntil int64
	// laterUntil is until when asking again is left to the node's next round.
	laterUntil int64
	// recent and before count the requests of the current and the last askAgain.
	recent, before int
}

// waiter is a request that waits for a token.
type waiter struct{ verdict chan Verdict }

// Verdict is whether a request may go on.
type Verdict struct {
	Granted bool
	// Unsure is true where nobody who counts the team's requests has answered.
	Unsure bool
	// RetryAfter is when the caller should come back, where it may not go on.
	RetryAfter time.Duration
}

// spend takes a token that is still good; false where there is none.
func (a *account) spend(now int64) bool {
	a.expire(now)
	if len(a.tokens) == 0 {
		return false
	}
	a.tokens = a.tokens[1:]
	return true
}

// expire gives back the tokens that have lain for too long.
func (a *account) expire(now int64) {
	for len(a.tokens) > 0 && a.tokens[0] <= now {
		a.tokens = a.tokens[1:]
		a.back++
	}
}

// ahead is how many tokens it is worth asking for beside the one that a request needs: half
// of what the last askAgain took, so that a team with many requests here waits for
// a round trip rarely and few tokens lie unused.
func (a *account) ahead() uint32 { return uint32(max(a.recent, a.before) / 2) }

// grant takes over the answer to a question, and lets requests that waited go on.
func (a *account) grant(now int64, answer *TokenGrant, current bool) {
	for range answer.Count {
		a.tokens = append(a.tokens, answer.AskedAt+int64(tokenLife))
	}
	if current {
		a.asked -= min(a.asked, answer.Requested)
	}
	wait := time.Duration(answer.WaitMS) * time.Millisecond
	for len(a.waiting) > 0 && a.spend(now) {
		a.answer(Verdict{Granted: true})
	}
	if answer.NoShareYet {
		// The node's next round asks again.
		a.laterUntil = now + int64(askAgain)
		return
	}
	if answer.Count < answer.Requested {
		a.shutUntil = now + int64(wait)
	}
	// Those whose question is still under way wait on.
	for len(a.waiting) > int(a.asked) {
		a.answer(Verdict{RetryAfter: wait})
	}
}

// answer tells the request that has waited longest.
func (a *account) answer(v Verdict) {
	first := a.waiting[0]
	a.waiting = a.waiting[1:]
	first.verdict <- v
}

// leave takes a request out that waits no more; false where it was answered meanwhile.
func (a *account) leave(w *waiter) bool {
	for i, other := range a.waiting {
		if other == w {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// want is the question for what is lacking now.
func (a *account) want(now int64) TokenRequest {
	out := TokenRequest{Team: a.team, Returned: a.back, AskedAt: now}
	if lacking := len(a.waiting) - int(a.asked); lacking > 0 {
		out.Count = uint32(lacking) + a.ahead()
	}
	a.asked += out.Count
	a.back = 0
	return out
}

// idle is true for an account that holds nothing.
func (a *account) idle() bool {
	return len(a.tokens)+len(a.waiting)+a.recent+a.before == 0 && a.asked+a.back == 0
}
