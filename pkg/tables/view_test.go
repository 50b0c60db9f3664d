package tables

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/placement"
)

// TestTheShareOfServices counts those that have no link yet, too.
func TestTheShareOfServices(t *testing.T) {
	view := &View{}
	test.Eq(t, 0.0, view.ShareOf([]string{"a"}))
	add := func(name string, ready, unlinked int) {
		kind := &KindView{Kind: &placement.CompiledKind{}, Ready: make([]Candidate, ready), Unlinked: make([]*Route, unlinked)}
		view.SetService(name, NewServiceView(nil, []*KindView{kind}))
	}
	add("a", 2, 1)
	add("b", 1, 0)
	test.Eq(t, 0.75, view.ShareOf([]string{"a"}))
	test.Eq(t, 1.0, view.ShareOf([]string{"a", "b"}))
	test.Eq(t, 0.0, view.ShareOf([]string{"gone"}))
}
