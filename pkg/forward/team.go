package forward

import (
	"context"
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/teams"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TeamKeyHeader is the header that carries the key of a request's team, in canonical
// form.
const TeamKeyHeader = "Authorization"

// TeamKey is the digest of the team key that a request carries. An entry does not keep the
// key itself.
type TeamKey struct {
	Digest teams.KeyDigest
	// Given is false for a request without a key.
	Given bool
}

// authenticate returns the team whose key a request carries, and removes the key from the
// headers. The team is nil for a placement without teams, which lets all requests in, and
// may be nil for a route that is exempt from keys. Any other request needs a key that a
// team holds.
func (f *Forwarder) authenticate(match RouteMatch, req *Request) (*teams.Team, *errkind.Error) {
	directory := match.placement.Teams
	if directory.Len() == 0 {
		return nil, nil
	}
	// The key must not reach the backend server.
	req.Headers = slices.DeleteFunc(req.Headers, func(h wire.Header) bool { return h.Name == TeamKeyHeader })
	team := teamOf(directory, req.TeamKey)
	if team == nil && !match.route.KeyExempt {
		return nil, errkind.New(errkind.KeyUnknown, "placement version %d has no team with the request's key", match.placement.Version)
	}
	if team != nil && f.keysAreOutdated() {
		return nil, errkind.New(errkind.KeysUnsure, "the keys of teams were last confirmed %v ago", f.keysAge())
	}
	return team, nil
}

// teamOf returns the team that holds a key, or nil.
func teamOf(directory *teams.Directory, key TeamKey) *teams.Team {
	if !key.Given {
		return nil
	}
	return directory.Holder(key.Digest)
}

// takeToken takes a token of the rate limit of the request's team. It returns nil when it
// has taken one or the team has no limit, and otherwise why the request may not run.
func (f *Forwarder) takeToken(ctx context.Context, a *attempts) *call.Result {
	if a.team == nil || !a.team.Limit.Limited() {
		return nil
	}
	if f.Quota == nil {
		out := call.Refused(errkind.LimitUnsure, "this daemon cannot check the limits of teams")
		return &out
	}
	// A request that has waited for half of its target is refused, not held longer.
	verdict := f.Quota.Take(ctx, f.Now(), a.team.Name, a.target/2)
	switch {
	case verdict.Granted:
		return nil
	case ctx.Err() != nil:
		out := interruptedBeforeRun(ctx, "its team's limit was checked")
		return &out
	case verdict.Unsure:
		out := call.Refused(errkind.LimitUnsure, "no daemon knows whether team %s is within its limit", a.team.Name)
		return &out
	}
	out := call.Refused(errkind.LimitUsed, "team %s has used its limit of %g requests per second", a.team.Name, a.team.Limit.Rate)
	a.setTeamReturnTime(&out, verdict.RetryAfter)
	return &out
}

// returnToken returns the token that takeToken took, where the request did not run.
func (f *Forwarder) returnToken(a *attempts, result *call.Result) {
	if a.team != nil && a.team.Limit.Limited() && result.Refusal != nil && result.Refusal.Ran == errkind.RanNo {
		f.Quota.ReturnToken(a.team.Name)
	}
}

// revokedKeyRefusal refuses a request whose key was revoked after the request arrived,
// unless an attempt may have reached a backend server. It returns nil if the request may
// run.
func (a *attempts) revokedKeyRefusal() *call.Result {
	newest := a.forwarder.view.Placement()
	if a.team == nil || a.offered > 0 || newest == nil || newest.Version == a.version {
		return nil
	}
	if teamOf(newest.Teams, a.req.TeamKey) != nil || newest.Teams.Len() == 0 {
		return nil
	}
	out := call.Refused(errkind.KeyUnknown, "placement version %d has revoked the request's key", newest.Version)
	return &out
}

// maxKeysAgeShare is the share of teams.revoke_within after which a daemon no longer
// trusts keys that were not confirmed. The rest allows for the time that a request is in
// transit, and for clocks that run at different speeds.
const maxKeysAgeShare = 0.8

// keysAreOutdated reports whether the keys were confirmed so long ago that one of them
// may have been revoked for nearly the time that teams.revoke_within allows.
func (f *Forwarder) keysAreOutdated() bool {
	within := f.Settings.Teams.RevokeWithin
	return within > 0 && f.keysAge() > time.Duration(maxKeysAgeShare*float64(within))
}

// keysAge returns the time since the keys were last known to be in force.
func (f *Forwarder) keysAge() time.Duration {
	return time.Duration(f.Now() - f.view.PlacementProvenAt())
}
