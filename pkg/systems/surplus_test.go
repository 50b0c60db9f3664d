package systems

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/tables"
)

func endpointSet(endpoints ...*tables.Endpoint) map[*tables.Endpoint]struct{} {
	out := map[*tables.Endpoint]struct{}{}
	for _, endpoint := range endpoints {
		out[endpoint] = struct{}{}
	}
	return out
}

// TestSurplusLinksAreClosed: a daemon of a large fleet ended up with links to most of the
// others, since subsets shift while members become known.
func TestSurplusLinksAreClosed(t *testing.T) {
	newEndpoint := func() *tables.Endpoint { return &tables.Endpoint{Load: tables.NewLoad(1)} }
	used, shifted, back, busy := newEndpoint(), newEndpoint(), newEndpoint(), newEndpoint()
	busy.Load.RecordSent(1)
	open := endpointSet(used, shifted, back, busy)
	s := newSurplusLinks()
	const long = int64(surplusDelay)
	test.SliceEmpty(t, s.closable(1, open, endpointSet(used)))
	test.SliceEmpty(t, s.closable(long, open, endpointSet(used, back)), test.Sprint("not unneeded for long enough"))
	test.Eq(t, []*tables.Endpoint{shifted}, s.closable(long+1, open, endpointSet(used)))
	busy.Load.RecordEnded(long + 2)
	delete(open, shifted)
	test.Eq(t, []*tables.Endpoint{busy}, s.closable(long+2, open, endpointSet(used)), test.Sprint("its calls have ended"))
	delete(open, busy)
	test.SliceEmpty(t, s.closable(2*long, open, endpointSet(used)), test.Sprint("the time starts again for a link that was needed again"))
	test.Eq(t, []*tables.Endpoint{back}, s.closable(2*long+1, open, endpointSet(used)))
}
