package systems

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

func boundRoute(rule bool) *placement.Document {
	r := routing.Route{Name: "r", Host: "h", Prefix: "/", Parts: []routing.Part{{Service: "s", Weight: 1}}}
	if rule {
		r.Regions, r.DataCentres = []string{"south"}, []string{"s1"}
	}
	return &placement.Document{Version: 5, Routes: []routing.Route{r}}
}

// TestTheStoresRuleGoesBeforeAnOlderReleasesReading: a daemon of the release before follows the feed, reads version 5 without the regions
// that it does not know, and hands it on. The same version from the store, with the
// rule, comes a moment later and is passed over.
func TestTheStoresRuleGoesBeforeAnOlderReleasesReading(t *testing.T) {
	env := testEnv()
	pl := &placements{Env: env}
	env.World.Placement = &placement.Document{Version: 4}
	hash, err := boundRoute(false).Hash()
	must.NoError(t, err)
	pl.take(tables.ReceivedPlacement{Document: boundRoute(false), Hash: hash, Peer: &link.Peer{Hello: wire.Hello{VM: "old", DataCentre: "a"}}})
	hash, err = boundRoute(true).Hash()
	must.NoError(t, err)
	pl.take(tables.ReceivedPlacement{Document: boundRoute(true), Hash: hash, FromStore: true})
	route := env.World.View.Placement().Routes.Match("h", "/x")
	must.NotNil(t, route)
	test.False(t, route.AllowsLocation("n1", "north"))
	hash, err = boundRoute(false).Hash()
	must.NoError(t, err)
	pl.take(tables.ReceivedPlacement{Document: boundRoute(false), Hash: hash, Peer: &link.Peer{Hello: wire.Hello{VM: "old", DataCentre: "a"}}})
	test.False(t, env.World.View.Placement().Routes.Match("h", "/x").AllowsLocation("n1", "north"), test.Sprint("a peer corrects nothing"))
}
