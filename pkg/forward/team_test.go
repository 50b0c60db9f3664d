package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/teams"
	"github.com/rushramp/rushramp/pkg/wire"
)

// setTeams puts a placement with two teams into force: red, which has the given keys and no
// limit, and blue, which has the key "b" and a limit.
func setTeams(f *Forwarder, version uint64, redKeys ...string) {
	previous := f.view.Placement().Document
	doc := *previous
	doc.Version = version
	doc.Teams = []teams.Team{
		{Name: "red", Priority: 1},
		{Name: "blue", Keys: []teams.KeyDigest{teams.DigestOf("b")}, Limit: teams.Limit{Rate: 10, Burst: 2}},
	}
	for _, key := range redKeys {
		doc.Teams[0].Keys = append(doc.Teams[0].Keys, teams.DigestOf(key))
	}
	f.view.SetPlacement(placement.Compile(&doc))
}

// newKeyedRequest returns a request that carries a team's key.
func newKeyedRequest(path, key string) *Request {
	out := newRequest(path)
	out.Headers = []wire.Header{{Name: TeamKeyHeader, Value: "Bearer " + key}, {Name: "X-Own", Value: "v"}}
	out.TeamKey = TeamKey{Digest: teams.DigestOf(key), Given: true}
	return out
}

// enforceLimits makes this daemon the only one that counts requests of teams. The test must call
// tick from time to time for it to go on counting.
func enforceLimits(f *Forwarder) (tick func()) { return enforceLimitsWith(f, false) }

// enforceLimitsWith is enforceLimits with return times turned on or off.
func enforceLimitsWith(f *Forwarder, scheduleReturns bool) (tick func()) {
	f.Quota = quota.NewNode(quota.Options{VM: "vm", Slack: 2, Window: 5 * time.Second, ScheduleReturns: scheduleReturns, Limit: f.view.TeamLimit})
	var ranked [quota.Groups][]quota.Peer
	for g := range ranked {
		ranked[g] = []quota.Peer{{Process: "vm"}}
	}
	tick = func() { f.Quota.Tick(f.Now(), 1, &ranked) }
	tick()
	return tick
}

func TestARequestsKeyNamesItsTeam(t *testing.T) {
	r := &fakeRunner{answer: answers(200)}
	f := newForwarder(r)
	setTeams(f, 4, "r")
	got := f.Forward(t.Context(), newKeyedRequest("/read/1", "r"))
	must.NotNil(t, got.Answer)
	sent := r.calls[0]
	test.Eq(t, "red", sent.Routed.Team)
	test.Eq(t, 1, sent.Routed.TeamPriority)
	test.Eq(t, []wire.Header{{Name: "X-Own", Value: "v"}}, sent.Headers)
	for _, key := range []string{"unknown", ""} {
		got = f.Forward(t.Context(), newKeyedRequest("/read/1", key))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.KeyUnknown, got.Refusal.Kind)
	}
	got = f.Forward(t.Context(), newRequest("/read/1"))
	test.Eq(t, errkind.KeyUnknown, got.Refusal.Kind)
	test.Eq(t, 1, totalCalls(r))
}

func TestAnExemptRouteNeedsNoKey(t *testing.T) {
	r := &fakeRunner{answer: answers(200)}
	f := newForwarder(r)
	f.view.Placement().Document.Routes[0].KeyExempt = true
	setTeams(f, 4, "r")
	must.NotNil(t, f.Forward(t.Context(), newRequest("/read/1")).Answer)
	must.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/read/1", "r")).Answer)
	must.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/read/1", "unknown")).Answer)
	test.Eq(t, "", r.calls[0].Routed.Team)
	test.Eq(t, "red", r.calls[1].Routed.Team)
	test.Eq(t, "", r.calls[2].Routed.Team)
	for _, sent := range r.calls {
		for _, h := range sent.Headers {
			test.NotEq(t, TeamKeyHeader, h.Name)
		}
	}
}

// TestARequestWhoseKeyIsRevokedIsNotSentAgain: the key is revoked during an attempt that
// reaches no backend server.
func TestARequestWhoseKeyIsRevokedIsNotSentAgain(t *testing.T) {
	r := &fakeRunner{}
	f := newForwarder(r, r)
	setTeams(f, 4, "r")
	r.answer = func(*wire.Call) (call.Result, bool) {
		setTeams(f, 5)
		return call.Refused(errkind.BackendAbsent, ""), false
	}
	got := f.Forward(t.Context(), newKeyedRequest("/read/1", "r"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.KeyUnknown, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Eq(t, 1, totalCalls(r))
}

func TestALimitHoldsAndRequestsThatDidNotRunDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRunner{answer: answers(200)}
		f := newForwarder(r)
		setTeams(f, 4)
		tick := enforceLimits(f)
		const threeTokens = 300 * time.Millisecond
		time.Sleep(threeTokens)
		for range 3 {
			must.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/post/1", "b")).Answer)
		}
		got := f.Forward(t.Context(), newKeyedRequest("/post/1", "b"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.LimitUsed, got.Refusal.Kind)
		test.Between(t, 0, got.RetryAfter, 100*time.Millisecond)
		tick()
		time.Sleep(got.RetryAfter)
		must.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/post/1", "b")).Answer)

		tick()
		time.Sleep(100 * time.Millisecond)
		r.answer = refuses(errkind.BackendAbsent, false)
		test.Eq(t, errkind.BackendAbsent, f.Forward(t.Context(), newKeyedRequest("/post/1", "b")).Refusal.Kind)
		r.answer = answers(200)
		got = f.Forward(t.Context(), newKeyedRequest("/post/1", "b"))
		must.NotNil(t, got.Answer, must.Sprint(got.Refusal))
	})
}

// TestARequestIsRefusedWhereNoDaemonChecksTheLimit: as not run, after half of its target.
func TestARequestIsRefusedWhereNoDaemonChecksTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: answers(200)})
		setTeams(f, 4)
		f.Quota = quota.NewNode(quota.Options{VM: "vm", Limit: f.view.TeamLimit})
		startedAt := time.Now()
		got := f.Forward(t.Context(), newKeyedRequest("/read/1", "b"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.LimitUnsure, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		test.Eq(t, 200*time.Millisecond, time.Since(startedAt))
	})
}

// TestKeysThatWereNotConfirmedAreRefused once teams.revoke_within bounds the time in which
// a revoked key must stop working.
func TestKeysThatWereNotConfirmedAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: answers(200)})
		setTeams(f, 4, "r")
		f.view.SetPlacementProvenAt(f.Now())
		time.Sleep(4 * time.Second)
		test.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/read/1", "r")).Answer)
		f.Settings.Teams.RevokeWithin = 5 * time.Second
		time.Sleep(time.Millisecond)
		got := f.Forward(t.Context(), newKeyedRequest("/read/1", "r"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.KeysUnsure, got.Refusal.Kind)
		f.view.SetPlacementProvenAt(f.Now())
		test.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/read/1", "r")).Answer)
	})
}
