package evacuation

import (
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/standin/fakestore"
)

// TestConcurrentChangesAreAllKept evacuates three data centres at the same time.
func TestConcurrentChangesAreAllKept(t *testing.T) {
	table := fakestore.New()
	var changes sync.WaitGroup
	for _, name := range []string{"a", "b", "c"} {
		changes.Go(func() {
			_, err := NewRegister(table).Change(t.Context(), Change{DataCentre: name, Evacuated: true})
			test.NoError(t, err)
		})
	}
	changes.Wait()
	set, err := NewRegister(table).Read(t.Context())
	must.NoError(t, err)
	test.Eq(t, []string{"a", "b", "c"}, set.DataCentres)
}

// TestEmptiedSetHasAHigherRevision checks that the empty set supersedes the one with the
// data centre that was taken back.
func TestEmptiedSetHasAHigherRevision(t *testing.T) {
	register := NewRegister(fakestore.New())
	none, err := register.Read(t.Context())
	must.NoError(t, err)
	test.Eq(t, 0, none.Revision)
	one, err := register.Change(t.Context(), Change{DataCentre: "a", Evacuated: true})
	must.NoError(t, err)
	test.Greater(t, none.Revision, one.Revision)
	again, err := register.Change(t.Context(), Change{DataCentre: "a", Evacuated: true})
	must.NoError(t, err)
	test.Eq(t, one.Revision, again.Revision, test.Sprint("a change without effect writes nothing"))
	emptied, err := register.Change(t.Context(), Change{DataCentre: "a"})
	must.NoError(t, err)
	test.True(t, emptied.IsEmpty())
	test.Greater(t, one.Revision, emptied.Revision)
}

func TestChangeFailsWhileTheStoreIsDown(t *testing.T) {
	table := fakestore.New()
	table.SetFaults(fakestore.Faults{Down: true})
	_, err := NewRegister(table).Change(t.Context(), Change{DataCentre: "a", Evacuated: true})
	test.Error(t, err)
}
