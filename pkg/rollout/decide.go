package rollout

import "time"

// Limits are what the platform holds a roll-out to, and what settings say.
type Limits struct {
	// Share and Slack bound what a bad version may get between order and deadline: a
	// share of the service's requests, and a number of requests besides.
	Share float64
	Slack int
	// StopWithin is how soon a version must get nothing more after it has shown itself
	// bad.
	StopWithin time.Duration
}

// Server is what the decider knows of one backend server of the service.
type Server struct {
	VM      string
	Version string
	Slots   int
	// Ready is true for one that takes requests: it lives, has a link, and is not in an
	// evacuated data centre.
	Ready bool
	// Empty is true for one whose executor obeys the plan in force and has nothing in
	// flight; Lost for one that nobody has a link with.
	Empty, Lost bool
}

// Decide returns the plan that should follow: the same one where nothing is due. now
// is on the store's steady clock. It is a function of what it gets, so that two that
// decide at once on the same knowledge write the same row, and only one of them wins.
func Decide(now time.Duration, order Order, plan Plan, verdict Verdict, servers []Server, limits Limits) (next Plan, changed bool) {
	return plan, false
}
