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

// ofTeams puts a version with teams in force: red without a limit, blue with one.
func ofTeams(f *Forwarder, version uint64, red ...string) {
	was := f.view.Placement().Document
	doc := *was
	doc.Version = version
	doc.Teams = []teams.Team{
		{Name: "red", Priority: 1},
		{Name: "blue", Keys: []teams.KeyDigest{teams.DigestOf("b")}, Limit: teams.Limit{Rate: 10, Burst: 2}},
	}
	for _, key := range red {
		doc.Teams[0].Keys = append(doc.Teams[0].Keys, teams.DigestOf(key))
	}
	f.view.SetPlacement(placement.Compile(&doc))
}

func requestOf(path, key string) *Request {
	out := request(path)
	out.Headers = []wire.Header{{Name: TeamKeyHeader, Value: "Bearer " + key}, {Name: "X-Own", Value: "v"}}
	out.TeamKey = TeamKey{Digest: teams.DigestOf(key), Given: true}
	return out
}

// alone makes the daemon the only one that counts, and returns what keeps it so.
func alone(f *Forwarder) (tick func()) {
	f.Quota = quota.NewNode(quota.Options{VM: "vm", Slack: 2, Window: 5 * time.Second, Limit: f.view.TeamLimit})
	var ranked [quota.Groups][]quota.Peer
	for g := range ranked {
		ranked[g] = []quota.Peer{{Process: "vm"}}
	}
	tick = func() { f.Quota.Tick(f.Now(), 1, &ranked) }
	tick()
	return tick
}

func TestARequestIsKnownByItsKey(t *testing.T) {
	r := &fakeRunner{answer: answers(200)}
	f := newForwarder(r)
	ofTeams(f, 4, "r")
	got := f.Forward(t.Context(), requestOf("/read/1", "r"))
	must.NotNil(t, got.Answer)
	sent := r.calls[0]
	test.Eq(t, "red", sent.Routed.Team)
	test.Eq(t, 1, sent.Routed.TeamPriority)
	test.Eq(t, []wire.Header{{Name: "X-Own", Value: "v"}}, sent.Headers)
	for _, key := range []string{"unknown", ""} {
		got = f.Forward(t.Context(), requestOf("/read/1", key))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.KeyUnknown, got.Refusal.Kind)
	}
	got = f.Forward(t.Context(), request("/read/1"))
	test.Eq(t, errkind.KeyUnknown, got.Refusal.Kind)
	test.Eq(t, 1, total(r))
}

func TestAnExemptRouteNeedsNoKey(t *testing.T) {
	r := &fakeRunner{answer: answers(200)}
	f := newForwarder(r)
	f.view.Placement().Document.Routes[0].KeyExempt = true
	ofTeams(f, 4, "r")
	must.NotNil(t, f.Forward(t.Context(), request("/read/1")).Answer)
	must.NotNil(t, f.Forward(t.Context(), requestOf("/read/1", "r")).Answer)
	must.NotNil(t, f.Forward(t.Context(), requestOf("/read/1", "unknown")).Answer)
	test.Eq(t, "", r.calls[0].Routed.Team)
	test.Eq(t, "red", r.calls[1].Routed.Team)
	test.Eq(t, "", r.calls[2].Routed.Team)
	for _, sent := range r.calls {
		for _, h := range sent.Headers {
			test.NotEq(t, TeamKeyHeader, h.Name)
		}
	}
}

// TestAKeyTakenAwayMeanwhileLetsNothingIn: also a request that has come before, and waits
// for another backend server.
func TestAKeyTakenAwayMeanwhileLetsNothingIn(t *testing.T) {
	r := &fakeRunner{}
	f := newForwarder(r, r)
	ofTeams(f, 4, "r")
	r.answer = func(*wire.Call) (call.Result, bool) {
		ofTeams(f, 5)
		return call.Refused(errkind.BackendAbsent, ""), false
	}
	got := f.Forward(t.Context(), requestOf("/read/1", "r"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.KeyUnknown, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Eq(t, 1, total(r))
}

func TestALimitHoldsAndWhatDidNotRunIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRunner{answer: answers(200)}
		f := newForwarder(r)
		ofTeams(f, 4)
		tick := alone(f)
		const earn = 300 * time.Millisecond
		time.Sleep(earn)
		// Three tokens were earned in that time.
		for range 3 {
			must.NotNil(t, f.Forward(t.Context(), requestOf("/post/1", "b")).Answer)
		}
		got := f.Forward(t.Context(), requestOf("/post/1", "b"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.LimitUsed, got.Refusal.Kind)
		test.Between(t, 0, got.RetryAfter, 100*time.Millisecond)
		tick()
		time.Sleep(got.RetryAfter)
		must.NotNil(t, f.Forward(t.Context(), requestOf("/post/1", "b")).Answer)

		tick()
		time.Sleep(100 * time.Millisecond)
		r.answer = refuses(errkind.BackendAbsent, false)
		test.Eq(t, errkind.BackendAbsent, f.Forward(t.Context(), requestOf("/post/1", "b")).Refusal.Kind)
		r.answer = answers(200)
		got = f.Forward(t.Context(), requestOf("/post/1", "b"))
		must.NotNil(t, got.Answer, must.Sprint(got.Refusal))
	})
}

// TestNobodyCountsMeansRefused: not run, after half of the target at most.
func TestNobodyCountsMeansRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: answers(200)})
		ofTeams(f, 4)
		f.Quota = quota.NewNode(quota.Options{VM: "vm", Limit: f.view.TeamLimit})
		began := time.Now()
		got := f.Forward(t.Context(), requestOf("/read/1", "b"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.LimitUnsure, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		test.Eq(t, 200*time.Millisecond, time.Since(began))
	})
}

// TestOldKeysLetNothingIn where a key that was taken away must let nothing in anywhere.
func TestOldKeysLetNothingIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: answers(200)})
		ofTeams(f, 4, "r")
		f.view.SetPlacementProvenAt(f.Now())
		time.Sleep(4 * time.Second)
		test.NotNil(t, f.Forward(t.Context(), requestOf("/read/1", "r")).Answer)
		f.Settings.Teams.RevokeWithin = 5 * time.Second
		time.Sleep(time.Millisecond)
		got := f.Forward(t.Context(), requestOf("/read/1", "r"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.KeysUnsure, got.Refusal.Kind)
		f.view.SetPlacementProvenAt(f.Now())
		test.NotNil(t, f.Forward(t.Context(), requestOf("/read/1", "r")).Answer)
	})
}
