package daemon

import (
	"time"

	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/settings"
)

// Bounds are the limits that the platform sets for all daemons of a deployment. A field
// that is 0 sets no limit: the setting for it stays in force.
type Bounds struct {
	// All daemons together may send RetryRatio retries per request of a service, and
	// RetrySlack more, in the platform's window.
	RetryRatio float64
	RetrySlack float64
	// RetryWindow is that window.
	RetryWindow time.Duration
	// ChecksPerSecond is the maximum rate of health checks of one backend server.
	ChecksPerSecond float64
	// A cold backend server may get ColdFactor times its service's cold rate and ColdSlack
	// requests more per second.
	ColdFactor float64
	ColdSlack  float64
	// A bad version may get the share MaxBadShare of the service's requests during its
	// roll-out, and MaxBadSlack requests more. Roll-outs are planned with the share alone.
	// StopWithin is the time after which a bad version must get no more requests.
	MaxBadShare float64
	MaxBadSlack float64
	StopWithin  time.Duration
	// LimitSlack is the number of requests by which a team may exceed its limit in
	// LimitWindow.
	LimitSlack  float64
	LimitWindow time.Duration
	// RevokeWithin is the time after which all daemons must refuse a revoked key, including
	// those that the network has cut off. If it is 0, the latter may still accept the key.
	RevokeWithin time.Duration
	// StopGrace is the time after SIGTERM at which the platform kills the process.
	StopGrace time.Duration
}

const (
	// httpMaxBadShare and httpMaxBadSlack are Bounds.MaxBadShare and Bounds.MaxBadSlack with
	// rushramp's own HTTP interface. The times and shares in pkg/rollout are for these.
	httpMaxBadShare = 0.1
	httpMaxBadSlack = 50
	// httpStopWithin is Bounds.StopWithin with rushramp's own HTTP interface. The tests of
	// the evaluator in pkg/rollout check that it is kept (TestDelays).
	httpStopWithin = 5 * time.Second
)

// httpBounds returns the bounds with rushramp's own HTTP interface, whose platform sets
// none.
func httpBounds() Bounds {
	return Bounds{MaxBadShare: httpMaxBadShare, MaxBadSlack: httpMaxBadSlack, StopWithin: httpStopWithin}
}

// rolloutLimits returns the limits of roll-outs; the zero value if the platform sets none.
func (b Bounds) rolloutLimits() rollout.Limits {
	return rollout.Limits{MaxBadShare: b.MaxBadShare, StopWithin: b.StopWithin}
}

const (
	// retryRatioShare is the share of Bounds.RetryRatio that daemons use. The rest is for
	// calls to other services that a retried run repeats: they count as retries, too, but no
	// entry can recognise them.
	retryRatioShare = 0.8
	// retrySlackShare is the share of Bounds.RetrySlack that daemons use. The rest is for
	// daemons whose tables of members differ, and for the random deviation of small parts.
	retrySlackShare = 0.8
	// checkRateShare is the share of Bounds.ChecksPerSecond that starting requests may use.
	// The periodic health checks use about seven per second.
	checkRateShare = 0.65
)

// coldShare is the share of Bounds.ColdFactor and Bounds.ColdSlack that the gate uses. The
// rest is for starts by the previous process of the daemon that the new one does not know.
const coldShare = 15.0 / 16

// apply overrides the settings of routed requests with the bounds.
func (b Bounds) apply(r *settings.Routing) {
	if b.RetryRatio > 0 {
		r.RetryRatio = retryRatioShare * b.RetryRatio
	}
	if b.RetrySlack > 0 {
		r.RetrySlack = int(retrySlackShare * b.RetrySlack)
	}
	if b.RetryWindow > 0 {
		r.RetryWindow = b.RetryWindow
	}
	if b.ChecksPerSecond > 0 {
		r.LooksPerSecond = int(checkRateShare * b.ChecksPerSecond)
	}
	if b.ColdFactor > 0 {
		r.ColdFactor = coldShare * b.ColdFactor
		r.ColdSlack = coldShare * b.ColdSlack
	}
}

// drainShare is the share of Bounds.StopGrace that a drain may take. In the rest, the process
// closes its connections, writes its log and ends.
const drainShare = 14.0 / 15

// applyDrain overrides the settings of the drain with the bounds.
func (b Bounds) applyDrain(d *settings.Drain) {
	if b.StopGrace > 0 {
		d.Bound = time.Duration(drainShare * float64(b.StopGrace))
	}
}

// applyTeams overrides the settings of teams with the bounds.
func (b Bounds) applyTeams(t *settings.Teams) {
	if b.LimitWindow > 0 {
		t.LimitSlack, t.LimitWindow = b.LimitSlack, b.LimitWindow
	}
	if b.RevokeWithin > 0 {
		t.RevokeWithin = b.RevokeWithin
	}
}
