package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReturnsPerRequest bounds the return times that one token request asks for.
	maxReturnsPerRequest = 64
	// maxReservedTokens bounds the reserved tokens that a daemon holds for one team.
	maxReservedTokens = 512
	// usefulShare is the share of a caller's useful time that one return may take: a daemon
	// does not know of earlier requests of a caller, and its second return and the wait for
	// a token must lie within its target, too.
	usefulShare = 0.32
	// minUsefulReturn is the least useful time with which a caller gets a scheduled return
	// time.
	minUsefulReturn = 20 * time.Millisecond
)

// returnTimes is a daemon's state of the return times of one team: the tokens that the
// counter has reserved for this daemon, and how many more return times are wanted.
type returnTimes struct {
	// reserved holds the reserved tokens, earliest due first.
	reserved []reservedToken
	// unmet counts the callers refused without a reserved token since the last request.
	unmet uint32
	// scheduled is true once the counter has shown that it schedules return times. It stays
	// false for a counter of an earlier release.
	scheduled bool
	// unused counts the reserved tokens that expire has removed.
	unused uint64
}

// reservedToken is a token that a request at this daemon may take from due on and before
// expiry. told is true once a caller was told to return at that time.
type reservedToken struct {
	due, expiry int64
	told        bool
}

// add adds the tokens reserved by a grant. They become due after the time of the grant's
// arrival and expire by the time of the request: a message that was in transit for long
// shortens the time for their use and never extends it.
func (r *returnTimes) add(now int64, grant *TokenGrant) {
	if grant.ReturnStepUS > 0 {
		r.scheduled = true
	}
	delay := int64(grant.ReturnMS) * int64(time.Millisecond)
	step := int64(grant.ReturnStepUS) * int64(time.Microsecond)
	for range min(grant.Returns, maxReservedTokens-min(uint32(len(r.reserved)), maxReservedTokens)) {
		r.reserved = append(r.reserved, reservedToken{due: now + delay, expiry: grant.AskedAt + delay + int64(tokenTTL)})
		delay += step
	}
	slices.SortStableFunc(r.reserved, func(a, b reservedToken) int { return cmp.Compare(a.due, b.due) })
}

// spend takes a reserved token that is due. It returns false if there is none.
func (r *returnTimes) spend(now int64) bool {
	for i, token := range r.reserved {
		if token.due > now {
			return false
		}
		if now < token.expiry {
			r.reserved = slices.Delete(r.reserved, i, i+1)
			return true
		}
	}
	return false
}

// expire removes the tokens that have expired, and the due ones that no caller was told
// of, and returns their number. A token that is not due is never returned: its counter has
// not earned it yet.
func (r *returnTimes) expire(now int64) (count uint32) {
	r.reserved = slices.DeleteFunc(r.reserved, func(token reservedToken) bool {
		unused := token.due <= now && (token.expiry <= now || !token.told)
		if unused {
			count++
		}
		return unused
	})
	r.unused += uint64(count)
	return count
}

// assign returns the time until the earliest return time that no caller was told yet, if
// it is at most longest. Otherwise it counts the caller as unmet.
func (r *returnTimes) assign(now int64, longest time.Duration) (after time.Duration, ok bool) {
	for i := range r.reserved {
		token := &r.reserved[i]
		if token.told || token.due <= now {
			continue
		}
		if token.due-now > int64(longest) {
			break
		}
		token.told = true
		return time.Duration(token.due - now), true
	}
	r.unmet++
	return 0, false
}

// wanted returns the number of return times to request: one for each of the callers that wait
// for a token and of those refused since the last request, less the reserved ones that no
// caller was told yet. Those refused stand for the callers expected until the next request.
// Their count starts again.
func (r *returnTimes) wanted(now int64, waiting int) uint32 {
	count := uint32(max(waiting, 0)) + r.unmet
	r.unmet = 0
	for _, token := range r.reserved {
		if !token.told && token.due > now {
			count -= min(count, 1)
		}
	}
	return min(count, maxReturnsPerRequest)
}

// reset forgets the return times given by the previous counter: the next one starts a new
// schedule, and may earn the tokens that are not due yet itself.
func (r *returnTimes) reset() { *r = returnTimes{} }

// ReturnCause says how the return time of a refused caller was determined.
type ReturnCause string

// The causes of return times, as they stand in the log.
const (
	// ReturnNextToken is the time of the team's next token, from a counter that does not
	// schedule return times.
	ReturnNextToken ReturnCause = "next_token"
	// ReturnReserved is the time at which a token is reserved for the caller.
	ReturnReserved ReturnCause = "token_reserved"
	// ReturnLongest is the longest useful time that the caller honours, because no token is
	// expected before.
	ReturnLongest ReturnCause = "no_token_expected"
	// ReturnUnreachable is the time of the team's next token, because no return can be
	// answered within the caller's target.
	ReturnUnreachable ReturnCause = "target_unreachable"
)

// RefusedCaller describes a caller that Take refused.
type RefusedCaller struct {
	// Honoured is the longest return time that the caller honours.
	Honoured time.Duration
	// Useful is the longest return time after which its request can still be answered
	// within its target.
	Useful time.Duration
	// NextToken is the RetryAfter of its verdict.
	NextToken time.Duration
}

// ReturnTime returns when a caller that Take refused should return: at the next return
// time reserved by the counter that is useful and that the caller honours, or else after
// the longest such time, or maxRetryAfter if that is shorter. It is the time of the next
// token if the counter does not schedule return times, or no return is useful: the reserved
// tokens are then for callers that can still be answered within their targets.
func (n *Node) ReturnTime(now int64, team string, c RefusedCaller) (time.Duration, ReturnCause) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accountOf(team)
	if !n.opts.ScheduleReturns || !a.returnTimes.scheduled {
		return c.NextToken, ReturnNextToken
	}
	useful := time.Duration(usefulShare * float64(c.Useful))
	if useful < minUsefulReturn {
		n.stats.ReturnsUnreachable++
		return c.NextToken, ReturnUnreachable
	}
	longest := min(c.Honoured, useful)
	if after, ok := a.returnTimes.assign(now, longest); ok {
		n.stats.ReturnsReserved++
		return after, ReturnReserved
	}
	n.stats.ReturnsLongest++
	return min(max(longest, minRetryAfter), maxRetryAfter), ReturnLongest
}

// tokenRequest builds the request for the missing tokens of an account, without return
// times if they are turned off: reserved tokens would lie idle until they are due.
func (n *Node) tokenRequest(now int64, a *account) TokenRequest {
	out := a.tokenRequest(now)
	if !n.opts.ScheduleReturns {
		out.Refused = 0
	}
	return out
}

// expireReserved marks the reserved tokens of an account that were not used in time to be
// returned to the counter.
func (n *Node) expireReserved(now int64, a *account) {
	a.toReturn += a.returnTimes.expire(now)
	n.stats.ReturnsUnused += a.returnTimes.unused
	a.returnTimes.unused = 0
}

// resetReturns forgets the return times of all teams of a group.
func (n *Node) resetReturns(group int) {
	for _, a := range n.accounts {
		if a.group == group {
			a.returnTimes.reset()
		}
	}
}
