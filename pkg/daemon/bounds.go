package daemon

import (
	"time"

	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/settings"
)

// Bounds are what the platform holds all daemons of a deployment to; 0: it names
// no such bound, and the setting stays.
type Bounds struct {
	// RetryRatio is how many requests may reach a service once more, for each
	// request of it, and RetrySlack how many besides, in the platform's window.
	RetryRatio float64
	RetrySlack float64
	// ChecksPerSecond is how often a backend server's health path may be asked.
	ChecksPerSecond float64
	// ColdFactor is how many times what a cold backend server bears it may get in a
	// second, and ColdSlack how many requests besides.
	ColdFactor float64
	ColdSlack  float64
	// MaxBadShare and ExposeSlack bound the requests that a bad version may get while it
	// is rolled out: a share, with which roll-outs are planned, and a number besides, which
	// they leave in reserve. StopWithin is the time after which it must get none.
	MaxBadShare float64
	MaxBadSlack float64
	StopWithin  time.Duration
	// LimitSlack is how many requests beyond its limit a team may send in QuotaWindow.
	LimitSlack  float64
	LimitWindow time.Duration
	// RevokeWithin is after how long a key that was taken away must let nothing in
	// anywhere, also at a VM that is cut off; 0: there it may.
	RevokeWithin time.Duration
}

const (
	// ownExposeShare and ownExposeSlack are what rushramp's own form allows a bad version
	// to get between order and deadline: the share and the number for which the times
	// and shares of roll-outs were reckoned and tested (pkg/rollout).
	ownExposeShare = 0.1
	ownExposeSlack = 50
	// ownStopWithin is how soon a bad version must get nothing more: the bound that the
	// judge's tests hold (TestDelays).
	ownStopWithin = 5 * time.Second
)

// ownBounds are those of rushramp's own form, whose platform names none.
func ownBounds() Bounds {
	return Bounds{MaxBadShare: ownExposeShare, MaxBadSlack: ownExposeSlack, StopWithin: ownStopWithin}
}

// rollouts are the limits of roll-outs; the zero value: the platform has none.
func (b Bounds) rollouts() rollout.Limits {
	return rollout.Limits{MaxBadShare: b.MaxBadShare, StopWithin: b.StopWithin}
}

const (
	// ratioShare is the share of the platform's ratio that daemons spend: calls
	// that a repeated run makes count as repeats, too, and no entry sees them.
	ratioShare = 0.8
	// slackShare is the share of the platform's slack that daemons share out: one
	// that is started again begins with its part anew.
	slackShare = 0.8
	// checksShare is the share of the platform's checks that starting requests may
	// cause; the watch makes some seven a second besides.
	checksShare = 0.65
)

// coldShare is the share of the platform's bound on starts at a cold backend server
// that its gate uses. Two in thirty-two are left for starts that a new process of
// the daemon cannot know of.
const coldShare = 15.0 / 16

// apply puts the bounds into the settings that keep them.
func (b Bounds) apply(r *settings.Routing) {
	if b.RetryRatio > 0 {
		r.RetryRatio = ratioShare * b.RetryRatio
	}
	if b.RetrySlack > 0 {
		r.RetrySlack = int(slackShare * b.RetrySlack)
	}
	if b.ChecksPerSecond > 0 {
		r.LooksPerSecond = int(checksShare * b.ChecksPerSecond)
	}
	if b.ColdFactor > 0 {
		r.ColdFactor = coldShare * b.ColdFactor
		r.ColdSlack = coldShare * b.ColdSlack
	}
}

// applyTeams does so for those on teams.
func (b Bounds) applyTeams(t *settings.Teams) {
	if b.LimitWindow > 0 {
		t.LimitSlack, t.LimitWindow = b.LimitSlack, b.LimitWindow
	}
	if b.RevokeWithin > 0 {
		t.RevokeWithin = b.RevokeWithin
	}
}
