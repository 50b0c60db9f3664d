package forward

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/wire"
)

// rankedRuns are runs whose most urgent one has a rank.
type rankedRuns uint8

func (r rankedRuns) RepeatShare() float64 { return 0 }
func (r rankedRuns) Rank() uint8          { return uint8(r) }
func (r rankedRuns) CallRefused()         {}

// TestACallIsNoMoreUrgentThanItsRequest: requests of rank 1 make calls on a route of
// rank 0. Their service has first requests of rank 0 and, cold, too few starts for
// both.
func TestACallIsNoMoreUrgentThanItsRequest(t *testing.T) {
	backend := &fakeRunner{answer: answers(200)}
	f := newForwarder(backend)
	rank := func() uint8 {
		f.Forward(t.Context(), request("/read/"))
		return backend.calls[len(backend.calls)-1].Routed.Priority
	}
	f.runs = rankedRuns(1)
	test.Eq(t, 0, rank(), test.Sprint("callers' own requests"))
	f.called.note("read", wire.OriginService)
	test.Eq(t, 1, rank())
	f.runs = rankedRuns(0)
	test.Eq(t, 0, rank())
	f.runs = nil
	test.Eq(t, 0, rank(), test.Sprint("no backend server here"))
}
