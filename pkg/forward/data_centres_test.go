package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// allowDataCentres puts a placement into force that allows the routes in the given data centres only.
// It moves the candidates to data centres, in their order.
func allowDataCentres(f *Forwarder, version uint64, allowed []string, dataCentres ...string) {
	doc := *f.view.Placement().Document
	doc.Version, doc.Routes = version, append([]routing.Route(nil), doc.Routes...)
	for i := range doc.Routes {
		doc.Routes[i].DataCentres = allowed
	}
	candidates := f.view.Service("s").Match("GET", "/read/").LinkedCandidates
	for i, dataCentre := range dataCentres {
		candidates[i].Endpoint.DataCentre = dataCentre
	}
	f.view.SetPlacement(placement.Compile(&doc))
}

func TestRequestsGoToAllowedDataCentresOnly(t *testing.T) {
	here, there, far := &fakeRunner{answer: answers(500)}, &fakeRunner{answer: answers(500)}, &fakeRunner{answer: answers(500)}
	f := newForwarder(here, there, far)
	allowDataCentres(f, 4, []string{"there"}, "here", "there", "far")
	for range 10 {
		got := f.Forward(t.Context(), newRequest("/read/1"))
		must.NotNil(t, got.Answer)
		test.Eq(t, 500, got.Answer.Status)
	}
	test.Len(t, 0, here.calls)
	test.Len(t, 0, far.calls, test.Sprint("a retry must not go there either"))
	test.Len(t, 10, there.calls)
	test.Eq(t, 4, there.calls[0].Placement)
}

func TestARequestIsRefusedWhereNoCandidateIsAllowed(t *testing.T) {
	for _, allowed := range [][]string{{"far"}, {routing.NoDataCentre}} {
		here := &fakeRunner{answer: answers(200)}
		f := newForwarder(here)
		allowDataCentres(f, 4, allowed, "here")
		for _, path := range []string{"/read/1", "/post/1"} {
			got := f.Forward(t.Context(), newRequest(path))
			must.NotNil(t, got.Refusal)
			test.Eq(t, errkind.NoBackendServer, got.Refusal.Kind)
			test.Eq(t, errkind.RanNo, got.Refusal.Ran)
			test.Eq(t, 503, got.Refusal.Kind.Row().Status)
		}
		test.Len(t, 0, here.calls)
	}
}

// TestARetryFollowsTheNewestPlacement: the allowed data centres change during the first
// attempt.
func TestARetryFollowsTheNewestPlacement(t *testing.T) {
	var f *Forwarder
	changes := func(*wire.Call) (call.Result, bool) {
		allowDataCentres(f, 4, []string{"far"})
		return call.Refused(errkind.BackendAbsent, ""), false
	}
	near, other, far := &fakeRunner{answer: changes}, &fakeRunner{answer: changes}, &fakeRunner{answer: answers(200)}
	f = newForwarder(near, other, far)
	allowDataCentres(f, 3, []string{"here"}, "here", "here", "far")
	got := f.Forward(t.Context(), newRequest("/post/1"))
	must.NotNil(t, got.Answer)
	test.Eq(t, 1, totalCalls(near, other))
	must.Len(t, 1, far.calls)
	test.Eq(t, 4, far.calls[0].Placement, test.Sprint("the executor gets the version that allows its data centre"))
}

// TestAnUnresponsiveExecutorIsNotLeftForOneThatIsNotAllowed: the request cannot go
// elsewhere, and its answer may still come.
func TestAnUnresponsiveExecutorIsNotLeftForOneThatIsNotAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silentRunner, other := &fakeRunner{answer: silent}, &fakeRunner{answer: answers(200)}
		f := newForwarder(silentRunner, other)
		allowDataCentres(f, 4, []string{"there"}, "there", "far")
		got := f.Forward(t.Context(), newRequest("/read/1"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.DeadlineWhileRunning, got.Refusal.Kind)
		test.Len(t, 0, other.calls)
	})
}

func TestTheLogSaysHowFarEachAttemptWent(t *testing.T) {
	f := newForwarder(&fakeRunner{answer: answers(200)})
	f.Settings.VM.Region = "r"
	for region, want := range map[string]string{"r": "vm-1 region load=unknown -> x", "s": "vm-1 other load=unknown -> x"} {
		candidate := &tables.Candidate{Endpoint: &tables.Endpoint{VM: "vm-1", DataCentre: "there", Region: region}, Load: tables.NewLoad(4)}
		a := &attempts{forwarder: f}
		record := newAttemptRecord(1, candidate, false, a.proximityOf(candidate), 0)
		record.outcome = "x"
		test.Eq(t, want, record.String())
	}
}

// TestACrossingWithinTheRegionCostsAShare of one to another region: the share in the
// settings or, without that, the one that was measured.
func TestACrossingWithinTheRegionCostsAShare(t *testing.T) {
	f := newForwarder(&fakeRunner{answer: answers(200)})
	f.Settings.Routing.LeaveCost = 0.5
	a := &attempts{forwarder: f, target: time.Second, req: newRequest("/read/1"), route: f.view.Placement().Routes.Match("h", "/read/1")}
	test.Eq(t, choose.CrossingCosts{proximity.Region: 500 * time.Millisecond, proximity.OtherRegion: 500 * time.Millisecond}, a.crossingCosts(1), test.Sprint("not measured"))
	f.view.SetRegionShare(0.125)
	test.Eq(t, 62500*time.Microsecond, a.crossingCosts(1)[proximity.Region])
	f.Settings.Routing.RegionShare = 0.25
	test.Eq(t, choose.CrossingCosts{proximity.Region: 125 * time.Millisecond, proximity.OtherRegion: 500 * time.Millisecond}, a.crossingCosts(1))
}

// TestRelativeSizesFollowTheBytes of a mix of requests: lookups with answers of 5 kB, and
// uploads of 60 kB.
func TestRelativeSizesFollowTheBytes(t *testing.T) {
	s := newRequestSizes()
	test.Eq(t, 1, s.relative("lookup", 0), test.Sprint("no answer is known yet"))
	for range 1000 {
		for range 9 {
			s.add("lookup", 0, 5000, time.Millisecond)
		}
		s.add("upload", 60000, 400, time.Millisecond)
	}
	test.Between(t, 0.4, s.relative("lookup", 0), 0.6)
	test.Between(t, 4.5, s.relative("upload", 60000), 6.5)
	test.Greater(t, s.relative("upload", 60000), s.relative("upload", 360000), test.Sprint("the request's own body counts"))
	test.Eq(t, 1, s.relative("other", 0))
}

// newCrossingForwarder returns a forwarder with a full backend server near, and an idle
// one in another region. A read without a body has relativeSize times the mean size of all
// requests.
func newCrossingForwarder(near, other *fakeRunner, relativeSize float64) *Forwarder {
	f := newForwarder(near, other)
	f.Settings.VM.Region = "r"
	candidates := f.view.Service("s").Match("GET", "/read/").LinkedCandidates
	candidates[0].Endpoint.Region = "r"
	candidates[1].Endpoint.DataCentre, candidates[1].Endpoint.Region = "there", "x"
	f.sizes.add("read", 0, 1000, 120*time.Millisecond)
	f.sizes.all.mean = (frameBytes + 1000) / relativeSize
	full := wire.Stamp{Seq: 1, Limit: 4, Running: 4, Queued: 1, Slowdown: 100}
	candidates[0].Load.ApplyStamp(f.Now(), full)
	candidates[1].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 1, Limit: 4, Slowdown: 100})
	return f
}

// TestLargeRequestsQueueNearerInsteadOfCrossingRegions: the near gate is full and would
// refuse a soft attempt. Small requests cross.
func TestLargeRequestsQueueNearerInsteadOfCrossingRegions(t *testing.T) {
	for relativeSize, crosses := range map[float64]int{0.1: 1, 0.99: 1, 10: 0} {
		near, other := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := newCrossingForwarder(near, other, relativeSize)
		got := f.Forward(t.Context(), newRequest("/read/1"))
		must.NotNil(t, got.Answer)
		test.Eq(t, crosses, len(other.calls), test.Sprint(relativeSize))
		test.Eq(t, 1-crosses, len(near.calls))
		if crosses == 0 {
			test.False(t, near.calls[0].Routed.Soft, test.Sprint("a soft attempt could not queue"))
		}
	}
}

// TestLargeRequestsCrossWhereNoNearerCandidateIsLeft: no request is refused for the cost of
// a crossing.
func TestLargeRequestsCrossWhereNoNearerCandidateIsLeft(t *testing.T) {
	near, other := &fakeRunner{answer: refuses(errkind.Overloaded, false)}, &fakeRunner{answer: answers(200)}
	got := newCrossingForwarder(near, other, 10).Forward(t.Context(), newRequest("/read/1"))
	must.NotNil(t, got.Answer)
	test.Len(t, 1, near.calls)
	test.Len(t, 1, other.calls)
}

// TestARouteWithRegionsOnlySendsNoBodyElsewhere: a route may name regions and no data
// centres. The entry once sent such a request, with its body, to any data centre, and only
// the executor refused it.
func TestARouteWithRegionsOnlySendsNoBodyElsewhere(t *testing.T) {
	here := &fakeRunner{answer: refuses(errkind.PlacementStale, false)}
	f := newForwarder(here)
	doc := *f.view.Placement().Document
	doc.Version, doc.Routes = 4, append([]routing.Route(nil), doc.Routes...)
	for i := range doc.Routes {
		doc.Routes[i].Regions = []string{"south"}
	}
	f.view.SetPlacement(placement.Compile(&doc))
	f.Forward(t.Context(), newRequest("/read/1"))
	test.Len(t, 0, here.calls)
}
