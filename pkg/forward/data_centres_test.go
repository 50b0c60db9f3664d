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

// bind puts a version in force in which the routes may be handled in some data
// centres only, and places the candidates, one a data centre.
func bind(f *Forwarder, version uint64, allowed []string, places ...string) {
	doc := *f.view.Placement().Document
	doc.Version, doc.Routes = version, append([]routing.Route(nil), doc.Routes...)
	for i := range doc.Routes {
		doc.Routes[i].DataCentres = allowed
	}
	set := f.view.Service("s").Match("GET", "/read/").LinkedCandidates
	for i, place := range places {
		set[i].Endpoint.DataCentre = place
	}
	f.view.SetPlacement(placement.Compile(&doc))
}

func TestOnlyAllowedDataCentresAreAsked(t *testing.T) {
	here, there, far := &fakeRunner{answer: answers(500)}, &fakeRunner{answer: answers(500)}, &fakeRunner{answer: answers(500)}
	f := newForwarder(here, there, far)
	bind(f, 4, []string{"there"}, "here", "there", "far")
	for range 10 {
		got := f.Forward(t.Context(), request("/read/1"))
		must.NotNil(t, got.Answer)
		test.Eq(t, 500, got.Answer.Status)
	}
	test.Len(t, 0, here.calls)
	test.Len(t, 0, far.calls, test.Sprint("a retry has nobody else to go to"))
	test.Len(t, 10, there.calls)
	test.Eq(t, 4, there.calls[0].Placement)
}

func TestWhereNobodyIsAllowedTheRequestIsRefusedAtOnce(t *testing.T) {
	for _, allowed := range [][]string{{"far"}, {routing.NoDataCentre}} {
		here := &fakeRunner{answer: answers(200)}
		f := newForwarder(here)
		bind(f, 4, allowed, "here")
		for _, path := range []string{"/read/1", "/post/1"} {
			got := f.Forward(t.Context(), request(path))
			must.NotNil(t, got.Refusal)
			test.Eq(t, errkind.NoBackendServer, got.Refusal.Kind)
			test.Eq(t, errkind.RanNo, got.Refusal.Ran)
			test.Eq(t, 503, got.Refusal.Kind.Row().Status)
		}
		test.Len(t, 0, here.calls)
	}
}

// TestARetryKeepsTheNewestRules: the configuration changes while the first attempt
// is under way.
func TestARetryKeepsTheNewestRules(t *testing.T) {
	var f *Forwarder
	moves := func(*wire.Call) (call.Result, bool) {
		bind(f, 4, []string{"far"})
		return call.Refused(errkind.BackendAbsent, ""), false
	}
	near, other, far := &fakeRunner{answer: moves}, &fakeRunner{answer: moves}, &fakeRunner{answer: answers(200)}
	f = newForwarder(near, other, far)
	bind(f, 3, []string{"here"}, "here", "here", "far")
	got := f.Forward(t.Context(), request("/post/1"))
	must.NotNil(t, got.Answer)
	test.Eq(t, 1, total(near, other))
	must.Len(t, 1, far.calls)
	test.Eq(t, 4, far.calls[0].Placement, test.Sprint("the executor is told by which version"))
}

// TestASilentExecutorIsNotLeftForOneThatIsNotAllowed: there is nobody to go on at,
// and the answer may still come.
func TestASilentExecutorIsNotLeftForOneThatIsNotAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mute, other := &fakeRunner{answer: silent}, &fakeRunner{answer: answers(200)}
		f := newForwarder(mute, other)
		bind(f, 4, []string{"there"}, "there", "far")
		got := f.Forward(t.Context(), request("/read/1"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.DeadlineWhileRunning, got.Refusal.Kind)
		test.Len(t, 0, other.calls)
	})
}

// TestTheTrailSaysHowFarEachAttemptWent.
func TestTheTrailSaysHowFarEachAttemptWent(t *testing.T) {
	f := newForwarder(&fakeRunner{answer: answers(200)})
	f.Settings.VM.Region = "r"
	for region, want := range map[string]string{"r": "vm-1 region load=unknown -> x", "s": "vm-1 other load=unknown -> x"} {
		to := &tables.Candidate{Endpoint: &tables.Endpoint{VM: "vm-1", DataCentre: "there", Region: region}, Load: tables.NewLoad(4)}
		a := &attempts{owner: f}
		note := noteAttempt(1, to, false, a.placeOf(to), 0)
		note.outcome = "x"
		test.Eq(t, want, note.String())
	}
}

// TestACrossingWithinTheRegionCostsItsShare: what operators say goes before what the
// links have measured.
func TestACrossingWithinTheRegionCostsItsShare(t *testing.T) {
	f := newForwarder(&fakeRunner{answer: answers(200)})
	f.Settings.Routing.LeaveCost = 0.5
	a := &attempts{owner: f, target: time.Second, req: request("/read/1"), route: f.view.Placement().Routes.Match("h", "/read/1")}
	test.Eq(t, choose.CrossingCosts{proximity.Region: 500 * time.Millisecond, proximity.OtherRegion: 500 * time.Millisecond}, a.leaveCost(), test.Sprint("not measured"))
	f.view.SetRegionShare(0.125)
	test.Eq(t, 62500*time.Microsecond, a.leaveCost()[proximity.Region])
	f.Settings.Routing.RegionShare = 0.25
	test.Eq(t, choose.CrossingCosts{proximity.Region: 125 * time.Millisecond, proximity.OtherRegion: 500 * time.Millisecond}, a.leaveCost())
}

// TestACrossingIsPricedByItsBytes: an upload of 60 kB beside lookups of 5.
func TestACrossingIsPricedByItsBytes(t *testing.T) {
	s := newSizes()
	test.Eq(t, 1, s.share("lookup", 0), test.Sprint("nothing is known"))
	for range 1000 {
		for range 9 {
			s.note("lookup", 0, 5000)
		}
		s.note("upload", 60000, 400)
	}
	test.Between(t, 0.4, s.share("lookup", 0), 0.6)
	test.Between(t, 4.5, s.share("upload", 60000), 6.5)
	test.Greater(t, s.share("upload", 60000), s.share("upload", 360000), test.Sprint("by the request's own body"))
	test.Eq(t, 1, s.share("other", 0))
}

// crossable is a forwarder with a full backend server near, an idle one in another
// region, and a size in which a request of no body is some share of the mean.
func crossable(near, other *fakeRunner, share float64) *Forwarder {
	f := newForwarder(near, other)
	f.Settings.VM.Region = "r"
	set := f.view.Service("s").Match("GET", "/read/").LinkedCandidates
	set[0].Endpoint.Region = "r"
	set[1].Endpoint.DataCentre, set[1].Endpoint.Region = "there", "x"
	f.sizes.note("read", 0, 1000)
	f.sizes.all.mean = (frameBytes + 1000) / share
	full := wire.Stamp{Seq: 1, Limit: 4, Running: 4, Queued: 1, Slowdown: 100}
	set[0].Load.ApplyStamp(f.Now(), full)
	set[1].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 1, Limit: 4, Slowdown: 100})
	return f
}

// TestWhatIsLargeWaitsNearerInsteadOfCrossingRegions: the near gate is full, and would
// refuse a soft attempt.
func TestWhatIsLargeWaitsNearerInsteadOfCrossingRegions(t *testing.T) {
	for share, crosses := range map[float64]int{0.1: 1, 0.99: 1, 10: 0} {
		near, other := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := crossable(near, other, share)
		got := f.Forward(t.Context(), request("/read/1"))
		must.NotNil(t, got.Answer)
		test.Eq(t, crosses, len(other.calls), test.Sprint(share))
		test.Eq(t, 1-crosses, len(near.calls))
		if crosses == 0 {
			test.False(t, near.calls[0].Routed.Soft, test.Sprint("it may queue there"))
		}
	}
}

// TestWhatIsLargeCrossesWhereNobodyNearerIsLeft: a price never refuses a request.
func TestWhatIsLargeCrossesWhereNobodyNearerIsLeft(t *testing.T) {
	near, other := &fakeRunner{answer: refuses(errkind.Overloaded, false)}, &fakeRunner{answer: answers(200)}
	got := crossable(near, other, 10).Forward(t.Context(), request("/read/1"))
	must.NotNil(t, got.Answer)
	test.Len(t, 1, near.calls)
	test.Len(t, 1, other.calls)
}

// TestThePriceOfACrossingMakesNoRequestLate.
func TestThePriceOfACrossingMakesNoRequestLate(t *testing.T) {
	crosses := choose.RoutedPick{Index: 1, Proximity: proximity.OtherRegion, Cost: 1000, ExpectedTime: 100}
	for _, s := range []struct {
		name   string
		waits  choose.RoutedPick
		within time.Duration
		want   bool
	}{
		{"cheaper and in time", choose.RoutedPick{Proximity: proximity.Region, Cost: 500, ExpectedTime: 500}, 800, true},
		{"cheaper, and too late with the spread of runs", choose.RoutedPick{Proximity: proximity.Region, Cost: 500, ExpectedTime: 500}, 600, false},
		{"dearer", choose.RoutedPick{Proximity: proximity.Region, Cost: 1500, ExpectedTime: 1500}, 9000, false},
		{"cheaper and no nearer", choose.RoutedPick{Proximity: proximity.OtherRegion, Cost: 500, ExpectedTime: 500}, 800, false},
		{"nobody to wait at", choose.RoutedPick{Index: choose.NoCandidate}, 9000, false},
		{"late already", choose.RoutedPick{Proximity: proximity.Region, Cost: 500, ExpectedTime: 500}, -1, false},
	} {
		test.Eq(t, s.want, waitsNearer(&crosses, &s.waits, s.within), test.Sprint(s.name))
	}
}

// TestARouteOfRegionsAloneSendsNoBodyElsewhere: a route that names regions and no data centres (rushramp's own form allows it): the
// entry sends the request, with its body, anywhere; only the executor says no.
func TestARouteOfRegionsAloneSendsNoBodyElsewhere(t *testing.T) {
	here := &fakeRunner{answer: refuses(errkind.PlacementStale, false)}
	f := newForwarder(here)
	doc := *f.view.Placement().Document
	doc.Version, doc.Routes = 4, append([]routing.Route(nil), doc.Routes...)
	for i := range doc.Routes {
		doc.Routes[i].Regions = []string{"south"}
	}
	f.view.SetPlacement(placement.Compile(&doc))
	f.Forward(t.Context(), request("/read/1"))
	test.Len(t, 0, here.calls)
}
