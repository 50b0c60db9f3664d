package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
)

// newWeighted makes a forwarder with a route of two parts, weights 9 and 1, each
// with one backend server: the first part's in data centre "here", the second's in
// "there".
func newWeighted(first, second *fakeRunner) (*Forwarder, *tables.View) {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	view := &tables.View{}
	compiled := placement.Compile(&placement.Document{Version: 1, Routes: []routing.Route{{
		Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, Attempts: 2, Timeout: time.Second, Target: 400 * time.Millisecond,
		Parts: []routing.Part{{Service: "first", Weight: 9}, {Service: "second", Weight: 1}},
	}}})
	view.SetPlacement(compiled)
	for service, at := range map[string]struct {
		dataCentre string
		runner     *fakeRunner
	}{"first": {"here", first}, "second": {"there", second}} {
		route := &tables.Endpoint{DataCentre: at.dataCentre, Load: tables.NewLoad(4)}
		route.SetRunner(at.runner)
		kind := &tables.KindView{Kind: compiled.Service(service).Kinds[0], LinkedCandidates: []tables.Candidate{{Endpoint: route, Load: route.Load}}}
		view.SetService(service, tables.NewServiceView(compiled.Service(service), []*tables.KindView{kind}))
	}
	return NewForwarder(common.NewCommon(events.Discard(), &s), view, nil), view
}

// TestAPartThatIsShortOfRoomKeepsItsShare: what does not fit there, as its data
// centre is evacuated or its backend server bears no more, is refused, not moved to
// another part.
func TestAPartThatIsShortOfRoomKeepsItsShare(t *testing.T) {
	const requests = 1000
	scenarios := []struct {
		name    string
		evacuee string
		second  func() *fakeRunner
	}{
		{"its data centre is evacuated", "there", func() *fakeRunner { return &fakeRunner{answer: answers(200)} }},
		{"its backend server bears no more", "", func() *fakeRunner { return &fakeRunner{answer: refuses(errkind.Overloaded, false)} }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			first, second := &fakeRunner{answer: answers(200)}, s.second()
			f, view := newWeighted(first, second)
			if s.evacuee != "" {
				view.SetEvacuation(evacuation.Set{}.With(1, []evacuation.Change{{DataCentre: s.evacuee, Evacuated: true}}))
			}
			refused := 0
			for range requests {
				got := f.Forward(t.Context(), request("/read/1"))
				if got.Refusal != nil {
					must.Eq(t, errkind.RanNo, got.Refusal.Ran)
					refused++
				}
			}
			test.Between(t, requests/10-5, refused, requests/10+5)
			test.Eq(t, requests-refused, len(first.calls))
			if s.evacuee != "" {
				test.Eq(t, 0, len(second.calls))
			}
		})
	}
}
