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

// documentWithRoute returns version 5 of a placement with one route. If withRegions is
// true, the route has lists of allowed regions and data centres.
func documentWithRoute(withRegions bool) *placement.Document {
	r := routing.Route{Name: "r", Host: "h", Prefix: "/", Parts: []routing.Part{{Service: "s", Weight: 1}}}
	if withRegions {
		r.Regions, r.DataCentres = []string{"south"}, []string{"s1"}
	}
	return &placement.Document{Version: 5, Routes: []routing.Route{r}}
}

// TestStoreCorrectsAPlacementFromAnOlderRelease: a peer of an older release reads version
// 5 from the feed, drops the rule on regions that it does not know, and sends the rest to
// this daemon. The same version with the rule arrives from the store a moment later. It
// was ignored, so the rule had no effect.
func TestStoreCorrectsAPlacementFromAnOlderRelease(t *testing.T) {
	env := testEnv()
	pl := &placements{Env: env}
	env.World.Placement = &placement.Document{Version: 4}
	hash, err := documentWithRoute(false).Hash()
	must.NoError(t, err)
	pl.acceptIfNewer(tables.ReceivedPlacement{Document: documentWithRoute(false), Hash: hash, Peer: &link.Peer{Hello: wire.Hello{VM: "old", DataCentre: "a"}}})
	hash, err = documentWithRoute(true).Hash()
	must.NoError(t, err)
	pl.acceptIfNewer(tables.ReceivedPlacement{Document: documentWithRoute(true), Hash: hash, FromStore: true})
	route := env.World.View.Placement().Routes.Match("h", "/x")
	must.NotNil(t, route)
	test.False(t, route.AllowsLocation("n1", "north"))
	hash, err = documentWithRoute(false).Hash()
	must.NoError(t, err)
	pl.acceptIfNewer(tables.ReceivedPlacement{Document: documentWithRoute(false), Hash: hash, Peer: &link.Peer{Hello: wire.Hello{VM: "old", DataCentre: "a"}}})
	test.False(t, env.World.View.Placement().Routes.Match("h", "/x").AllowsLocation("n1", "north"), test.Sprint("a peer corrects no placement"))
}
