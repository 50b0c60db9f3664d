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

// newDividedForwarder returns a forwarder with a route that is divided between two
// services with the weights 9 and 1. Each service has one backend server: the first in data
// centre "here", the second in "there".
func newDividedForwarder(first, second *fakeRunner) (*Forwarder, *tables.View) {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	view := &tables.View{}
	compiled := placement.Compile(&placement.Document{Version: 1, Routes: []routing.Route{{
		Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, Attempts: 2, Timeout: time.Second, Target: 400 * time.Millisecond,
		Parts: []routing.Part{{Service: "first", Weight: 9}, {Service: "second", Weight: 1}},
	}}})
	view.SetPlacement(compiled)
	for service, server := range map[string]struct {
		dataCentre string
		runner     *fakeRunner
	}{"first": {"here", first}, "second": {"there", second}} {
		endpoint := &tables.Endpoint{DataCentre: server.dataCentre, Load: tables.NewLoad(4)}
		endpoint.SetRunner(server.runner)
		kind := &tables.KindView{Kind: compiled.Service(service).Kinds[0], LinkedCandidates: []tables.Candidate{{Endpoint: endpoint, Load: endpoint.Load}}}
		view.SetService(service, tables.NewServiceView(compiled.Service(service), []*tables.KindView{kind}))
	}
	return NewForwarder(common.NewCommon(events.Discard(), &s), view, nil), view
}

// TestAPartKeepsItsShareWhenItCannotServeIt: where the part's data centre is evacuated or
// its backend server is full, its requests are refused and do not go to the other part.
func TestAPartKeepsItsShareWhenItCannotServeIt(t *testing.T) {
	const requests = 1000
	scenarios := []struct {
		name      string
		evacuated string
		second    func() *fakeRunner
	}{
		{"its data centre is evacuated", "there", func() *fakeRunner { return &fakeRunner{answer: answers(200)} }},
		{"its backend server is full", "", func() *fakeRunner { return &fakeRunner{answer: refuses(errkind.Overloaded, false)} }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			first, second := &fakeRunner{answer: answers(200)}, s.second()
			f, view := newDividedForwarder(first, second)
			if s.evacuated != "" {
				view.SetEvacuation(evacuation.Set{}.With(1, []evacuation.Change{{DataCentre: s.evacuated, Evacuated: true}}))
			}
			refused := 0
			for range requests {
				got := f.Forward(t.Context(), newRequest("/read/1"))
				if got.Refusal != nil {
					must.Eq(t, errkind.RanNo, got.Refusal.Ran)
					refused++
				}
			}
			test.Between(t, requests/10-5, refused, requests/10+5)
			test.Eq(t, requests-refused, len(first.calls))
			if s.evacuated != "" {
				test.Eq(t, 0, len(second.calls))
			}
		})
	}
}
