package systems

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// testEnv returns the environment of the daemon "vm" in the data centre "here".
func testEnv() *Env {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	c := common.NewCommon(events.Discard(), &s)
	w := tables.NewWorld("vm", "here")
	return &Env{Common: c, World: w, Control: NewControl(c, w, 1)}
}

// documentOf returns version n of a placement document with one service.
func documentOf(n uint64) *placement.Document {
	return &placement.Document{Version: n, Services: []placement.Service{{
		Name: "s", Kinds: []placement.Kind{{Name: "k", Path: "/*", DataCentres: []string{"here"}}},
	}}}
}

// updateFrom returns version n of the placement, as a peer in a data centre sends it.
func updateFrom(t must.T, dataCentre string, n uint64) tables.PeerPlacementUpdate {
	doc := documentOf(n)
	data, err := doc.EncodeCompressed()
	must.NoError(t, err)
	hash, err := doc.Hash()
	must.NoError(t, err)
	return tables.PeerPlacementUpdate{
		Peer:   &link.Peer{Hello: wire.Hello{VM: "peer", DataCentre: dataCentre}},
		Update: &wire.Update{Version: n, Hash: hash, Document: data},
	}
}

// TestVersionNeverDecreases delivers versions in random order and repeatedly, from the
// store and from peers.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := testEnv()
		system := &placements{Env: env}
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			n := rapid.Uint64Range(1, 9).Draw(t, "version")
			mail := &tables.Mail{}
			if rapid.Bool().Draw(t, "from the store") {
				mail.StorePlacements = []tables.ReceivedPlacement{{Document: documentOf(n), FromStore: true}}
			} else {
				mail.PlacementUpdates = []tables.PeerPlacementUpdate{updateFrom(t, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer's data centre"), n)}
			}
			system.Tick(1, mail)
			must.GreaterEq(t, highest, env.World.PlacementVersion())
			highest = env.World.PlacementVersion()
			if highest > 0 {
				must.Eq(t, highest, env.World.View.Placement().Version)
			}
		}
	})
}

func TestUpdateThatDoesNotMatchItsHashIsRefused(t *testing.T) {
	env := testEnv()
	system := &placements{Env: env}
	system.Tick(1, &tables.Mail{StorePlacements: []tables.ReceivedPlacement{{Document: documentOf(1), FromStore: true}}})
	bad := updateFrom(t, "a", 2)
	bad.Update.Hash = "0000"
	system.Tick(2, &tables.Mail{PlacementUpdates: []tables.PeerPlacementUpdate{bad}})
	test.Eq(t, 1, env.World.PlacementVersion())
}

func TestNewDaemonNeedsOffersFromTwoDataCentres(t *testing.T) {
	env := testEnv()
	for _, dc := range []string{"here", "a", "b"} {
		env.World.Members.Merge(1, nil, wire.Member{VM: "vm-" + dc, Started: 1, DataCentre: dc})
	}
	system := &placements{Env: env}
	system.Tick(1, &tables.Mail{PlacementUpdates: []tables.PeerPlacementUpdate{updateFrom(t, "a", 4)}})
	test.Nil(t, env.World.Placement)
	system.Tick(2, &tables.Mail{PlacementUpdates: []tables.PeerPlacementUpdate{updateFrom(t, "a", 5)}})
	test.Nil(t, env.World.Placement)
	system.Tick(3, &tables.Mail{PlacementUpdates: []tables.PeerPlacementUpdate{updateFrom(t, "b", 4)}})
	test.Eq(t, 5, env.World.PlacementVersion())
}

// TestNewDaemonPullsFromASecondDataCentre guards against a daemon that starts without the
// store and pulls from the nearest peer again and again, which is one offer.
func TestNewDaemonPullsFromASecondDataCentre(t *testing.T) {
	env := testEnv()
	addPeer := func(dataCentre string) *tables.PeerRow {
		env.World.Members.Merge(1, nil, wire.Member{VM: "vm-" + dataCentre, Started: 1, DataCentre: dataCentre})
		row := env.World.Peers.GetOrAdd(&link.Peer{Conn: link.NewClosedConn(), Hello: wire.Hello{VM: "vm-" + dataCentre, DataCentre: dataCentre}})
		row.PlacementVersion = 4
		return row
	}
	near, far := addPeer("here"), addPeer("a")
	system := &placements{Env: env}
	tick := func(now int64, updates ...tables.PeerPlacementUpdate) {
		system.Tick(now, &tables.Mail{PlacementUpdates: updates, PeerStates: []tables.PeerState{{}}})
	}
	tick(1)
	must.Eq(t, 1, near.PlacementPulledAt)
	must.Eq(t, 0, far.PlacementPulledAt)
	tick(2, updateFrom(t, "here", 4))
	test.Eq(t, 1, near.PlacementPulledAt, test.Sprint("the nearest peer has made its offer"))
	test.Eq(t, 2, far.PlacementPulledAt)
	near.PlacementVersion = 5
	tick(3 + int64(pullRetryAfter))
	test.Eq(t, 3+int64(pullRetryAfter), near.PlacementPulledAt, test.Sprint("it has a newer placement than it offered"))
	tick(4+int64(pullRetryAfter), updateFrom(t, "a", 4))
	test.Eq(t, 4, env.World.PlacementVersion())
}

func TestSubsetIsStableAndEven(t *testing.T) {
	const backends, entries, size = 30, 1000, 16
	kind := placement.Compile(documentOf(1)).Service("s").Match("GET", "/")
	counts := map[string]int{}
	for e := range entries {
		w := tables.NewWorld("entry-"+string(rune(e)), "here")
		for i := range backends {
			w.Members.Merge(1, nil, wire.Member{VM: "worker-" + string(rune('A'+i)), Started: 1, DataCentre: "here", Service: "s"})
		}
		before := Subset(w, settings.Choosing{Subset: size, Near: size}, kind)
		must.Len(t, size, before)
		for _, endpoint := range before {
			counts[endpoint.VM]++
		}
		// If a member outside of the subset is removed, the subset does not change.
		for _, endpoint := range w.Members.Endpoint {
			if !contains(before, endpoint) {
				gone := wire.Member{VM: endpoint.VM, Started: 1, State: wire.MemberGone, DataCentre: "here", Service: "s"}
				w.Members.Merge(2, nil, gone)
				break
			}
		}
		must.Eq(t, names(before), names(Subset(w, settings.Choosing{Subset: size, Near: size}, kind)))
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	overMean := float64(most) * backends / (entries * size)
	t.Logf("most over mean: %.3f", overMean)
	test.Less(t, 1.15, overMean)
}

// contains reports whether a list has an endpoint.
func contains(endpoints []*tables.Endpoint, wanted *tables.Endpoint) bool {
	for _, e := range endpoints {
		if e == wanted {
			return true
		}
	}
	return false
}

// names returns the VMs of endpoints.
func names(endpoints []*tables.Endpoint) []string {
	var out []string
	for _, e := range endpoints {
		out = append(out, e.VM)
	}
	return out
}
