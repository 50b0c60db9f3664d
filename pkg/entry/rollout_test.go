package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
)

// underRollout makes an entry whose first server is of version v1 and whose second one,
// of v2, is the canary of a roll-out in a phase, with a share in thousandths.
func underRollout(phase rollout.Phase, perMille uint32, servers ...*server) *Entry {
	e := newEntry(placement.Kind{}, nil, servers...)
	for i, c := range e.view.Service("s").Match("GET", "/a").LinkedCandidates {
		c.Endpoint.SetVersion([]string{"v1", "v2"}[i])
	}
	book := rollout.NewBook()
	book.Take(rollout.News{Plans: []rollout.Plan{{
		Service: "s", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: phase,
		Canaries: []string{"server-1"}, PerMille: perMille,
	}}})
	e.view.SetRollouts(&tables.RolloutView{Traffic: map[string]*rollout.Traffic{"s": book.Traffic("s")}})
	return e
}

func send(t *testing.T, e *Entry) call.Result {
	plan, _, refusal := e.Admit(t.Context(), &Request{Service: "s", Method: "GET", URI: "/a", Timeout: time.Second})
	must.Nil(t, refusal)
	return e.Run(t.Context(), plan, nil)
}

// TestCallsAreDividedByTheRollout: the share goes to the canary, all after the switch,
// none after the end.
func TestCallsAreDividedByTheRollout(t *testing.T) {
	for name, c := range map[string]struct {
		phase    rollout.Phase
		perMille uint32
		target   int
	}{
		"canary":      {rollout.Canary, 100, 100},
		"switching":   {rollout.Switching, 0, 1000},
		"completed":   {rollout.Completed, 0, 1000},
		"rolled back": {rollout.RolledBack, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			old, target := answers(0), answers(0)
			e := underRollout(c.phase, c.perMille, old, target)
			for range 1000 {
				must.NotNil(t, send(t, e).Answer)
			}
			test.Between(t, c.target-1, target.calls, c.target+1, test.Sprint(name))
			test.Eq(t, 1000, old.calls+target.calls, test.Sprint(name))
		})
	}
}

// TestNoCallIsRefusedForATrial: one that the canary refuses goes on at the old version.
func TestNoCallIsRefusedForATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, target := answers(0), refuses(errkind.VersionHeld)
		e := underRollout(rollout.Canary, 1000, old, target)
		test.NotNil(t, send(t, e).Answer)
		test.Eq(t, 1, target.calls)
		test.Eq(t, 1, old.calls)
	})
}
