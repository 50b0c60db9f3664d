package systems

import (
	"math"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestAgesOutOfRangeAreOld guards against ages in state frames that overflow to a time in the
// future, which no later report replaces.
func TestAgesOutOfRangeAreOld(t *testing.T) {
	for _, age := range []uint64{math.MaxUint64, math.MaxInt64, 1 << 63, 9223372036855, 18446744073710} {
		env := testEnv()
		env.World.Placement = documentOf(1)
		const now = int64(1e9)
		mail := &tables.Mail{PeerStates: []tables.PeerState{{
			Peer: &link.Peer{Hello: wire.Hello{VM: "peer", DataCentre: "there"}}, At: now,
			State: &wire.State{
				Placement: 1, StoreReadAgeMS: age, PlacementProofAgeMS: age,
				HeardDataCentres: []wire.HeardDataCentre{{DataCentre: "far", AgeMS: age}},
			},
		}}}
		(&peerStates{Env: env}).Tick(now, mail)
		(&placementProof{Env: env}).Tick(now, mail)
		test.LessEq(t, now, env.World.DataCentreHeardAt["far"], test.Sprint(age))
		test.LessEq(t, now, env.World.NewestStoreReadAt, test.Sprint(age))
		test.LessEq(t, now, env.World.View.PlacementProvenAt(), test.Sprint(age))
	}
}
