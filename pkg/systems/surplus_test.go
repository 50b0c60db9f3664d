package systems

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/tables"
)

func routeSet(routes ...*tables.Endpoint) map[*tables.Endpoint]struct{} {
	out := map[*tables.Endpoint]struct{}{}
	for _, route := range routes {
		out[route] = struct{}{}
	}
	return out
}

// TestLinksThatNoSubsetNeedsAreClosed: without it a daemon of a large fleet ends
// with a link to most others, since subsets shift while members become known.
func TestLinksThatNoSubsetNeedsAreClosed(t *testing.T) {
	newRoute := func() *tables.Endpoint { return &tables.Endpoint{Load: tables.NewLoad(1)} }
	used, shifted, back, busy := newRoute(), newRoute(), newRoute(), newRoute()
	busy.Load.RecordSent(1)
	open := routeSet(used, shifted, back, busy)
	s := newSurplusLinks()
	const long = int64(surplusFor)
	test.SliceEmpty(t, s.due(1, open, routeSet(used)))
	test.SliceEmpty(t, s.due(long, open, routeSet(used, back)), test.Sprint("not for long"))
	test.Eq(t, []*tables.Endpoint{shifted}, s.due(long+1, open, routeSet(used)))
	busy.Load.RecordEnded(long + 2)
	delete(open, shifted)
	test.Eq(t, []*tables.Endpoint{busy}, s.due(long+2, open, routeSet(used)), test.Sprint("its calls have ended"))
	delete(open, busy)
	test.SliceEmpty(t, s.due(2*long, open, routeSet(used)), test.Sprint("the one that was needed again counts anew"))
	test.Eq(t, []*tables.Endpoint{back}, s.due(2*long+1, open, routeSet(used)))
}
