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

// TeamKeyHeader carries the key of a request's team, in its canonical spelling.
const TeamKeyHeader = "Authorization"

// TeamKey is what an entry keeps of the key that came with a request.
type TeamKey struct {
	Digest teams.KeyDigest
	// Given is false for a request that came without a key.
	Given bool
}

// identify finds the team of a request. A placement without teams lets all in, and a
// request of an exempt route needs no key; one that it carries counts all the same.
func (f *Forwarder) identify(to RouteMatch, req *Request) (*teams.Team, *errkind.Error) {
	directory := to.placement.Teams
	if directory.Len() == 0 {
		return nil, nil
	}
	// The key itself goes no further than here.
	req.Headers = slices.DeleteFunc(req.Headers, func(h wire.Header) bool { return h.Name == TeamKeyHeader })
	team := holderOf(directory, req.TeamKey)
	if team == nil && !to.route.KeyExempt {
		return nil, errkind.New(errkind.KeyUnknown, "version %d has no team that holds the request's key", to.placement.Version)
	}
	if team != nil && f.keysAreOld() {
		return nil, errkind.New(errkind.KeysUnsure, "the newest word on keys is %v old", f.keysAge())
	}
	return team, nil
}

func holderOf(directory *teams.Directory, key TeamKey) *teams.Team {
	if !key.Given {
		return nil
	}
	return directory.Holder(key.Digest)
}

// count takes a token of the request's team, where that has a limit.
func (f *Forwarder) count(ctx context.Context, a *attempts) *call.Result {
	if a.team == nil || !a.team.Limit.Limited() {
		return nil
	}
	if f.Quota == nil {
		out := call.Refused(errkind.LimitUnsure, "this daemon counts no requests of teams")
		return &out
	}
	// A request that has waited for half of its target had better be told.
	verdict := f.Quota.Take(ctx, f.Now(), a.team.Name, a.target/2)
	switch {
	case verdict.Granted:
		return nil
	case ctx.Err() != nil:
		out := call.Refused(errkind.CallerGone, "the caller left before its team's limit was known")
		return &out
	case verdict.Unsure:
		out := call.Refused(errkind.LimitUnsure, "nobody has told whether team %s is within its limit", a.team.Name)
		return &out
	}
	out := call.Refused(errkind.LimitUsed, "team %s has used its limit of %g a second", a.team.Name, a.team.Limit.Rate)
	out.RetryAfter = verdict.RetryAfter
	return &out
}

// giveBack returns the token of a request that was not run.
func (f *Forwarder) giveBack(a *attempts, result *call.Result) {
	if a.team != nil && a.team.Limit.Limited() && result.Refusal != nil && result.Refusal.Ran == errkind.RanNo {
		f.Quota.ReturnToken(a.team.Name)
	}
}

// revoked refuses a request whose key was taken away since it came, as long as no backend
// server has had it.
func (a *attempts) revoked() *call.Result {
	newest := a.owner.view.Placement()
	if a.team == nil || a.offered > 0 || newest == nil || newest.Version == a.version {
		return nil
	}
	if holderOf(newest.Teams, a.req.TeamKey) != nil || newest.Teams.Len() == 0 {
		return nil
	}
	out := call.Refused(errkind.KeyUnknown, "version %d has taken the request's key away", newest.Version)
	return &out
}

// oldShare is the share of teams.revoke_within for which a daemon trusts its keys without
// a newer proof: what is left is for a request on its way and clocks that differ in pace.
const oldShare = 0.8

// keysAreOld is true where a key might have been taken away without this daemon knowing,
// for nearly as long as that may be.
func (f *Forwarder) keysAreOld() bool {
	within := f.Settings.Teams.RevokeWithin
	return within > 0 && f.keysAge() > time.Duration(oldShare*float64(within))
}

// keysAge is how old the newest proof is that the keys are in force.
func (f *Forwarder) keysAge() time.Duration {
	return time.Duration(f.Now() - f.view.PlacementProvenAt())
}
