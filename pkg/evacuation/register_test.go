package evacuation

import (
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/standin/fakestore"
)

// TestOperatorsWhoRaceLoseNoChange: each evacuates a data centre of its own.
func TestOperatorsWhoRaceLoseNoChange(t *testing.T) {
	platform := fakestore.New()
	var all sync.WaitGroup
	for _, name := range []string{"a", "b", "c"} {
		all.Go(func() {
			_, err := NewRegister(platform).Change(t.Context(), Change{DataCentre: name, Evacuated: true})
			test.NoError(t, err)
		})
	}
	all.Wait()
	set, err := NewRegister(platform).Read(t.Context())
	must.NoError(t, err)
	test.Eq(t, []string{"a", "b", "c"}, set.DataCentres)
}

// TestASetThatIsEmptyAgainIsNewer: so that it goes before the one with the data
// centre that was taken back.
func TestASetThatIsEmptyAgainIsNewer(t *testing.T) {
	register := NewRegister(fakestore.New())
	none, err := register.Read(t.Context())
	must.NoError(t, err)
	test.Eq(t, 0, none.Revision)
	one, err := register.Change(t.Context(), Change{DataCentre: "a", Evacuated: true})
	must.NoError(t, err)
	test.Greater(t, none.Revision, one.Revision)
	again, err := register.Change(t.Context(), Change{DataCentre: "a", Evacuated: true})
	must.NoError(t, err)
	test.Eq(t, one.Revision, again.Revision, test.Sprint("nothing changed, nothing is written"))
	back, err := register.Change(t.Context(), Change{DataCentre: "a"})
	must.NoError(t, err)
	test.True(t, back.IsEmpty())
	test.Greater(t, one.Revision, back.Revision)
}

func TestAStoreThatIsDownChangesNothing(t *testing.T) {
	platform := fakestore.New()
	platform.SetFaults(fakestore.Faults{Down: true})
	_, err := NewRegister(platform).Change(t.Context(), Change{DataCentre: "a", Evacuated: true})
	test.Error(t, err)
}
