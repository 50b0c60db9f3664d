package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
)

// TestEncodeRejectsPlansThatCannotBeDecoded: no daemon could read such a row, and so none
// would overwrite it. DecodePlan rejects plans of another service and damaged values.
func TestEncodeRejectsPlansThatCannotBeDecoded(t *testing.T) {
	plan := planFor(orderOf(5, "v2"), 0, Canary)
	value, err := plan.Encode()
	must.NoError(t, err)
	read, err := DecodePlan(plan.Service, value, 7)
	must.NoError(t, err)
	plan.Revision = 7
	test.Eq(t, plan, read)
	plan.Old = []string{""}
	_, err = plan.Encode()
	test.Error(t, err)
	_, err = DecodePlan("another", value, 7)
	test.Error(t, err)
	_, err = DecodePlan(plan.Service, []byte("{"), 7)
	test.Error(t, err)
}

// TestTablePlanStoreWritesConditionally checks that a write succeeds only where the row has
// the revision of the plan.
func TestTablePlanStoreWritesConditionally(t *testing.T) {
	plans := NewTablePlanStore(fakestore.New(), func() time.Duration { return time.Hour })
	none, err := plans.Read(t.Context(), "desk")
	must.NoError(t, err)
	test.Eq(t, StoredPlan{Now: time.Hour}, none)
	plan := planFor(orderOf(5, "v2"), 0, Canary)
	must.NoError(t, plans.Write(t.Context(), plan))
	must.ErrorIs(t, plans.Write(t.Context(), plan), store.ErrConflict)
	read, err := plans.Read(t.Context(), "desk")
	must.NoError(t, err)
	plan.Revision = read.Plan.Revision
	test.Eq(t, plan, read.Plan)
	plan.Phase = Switching
	must.NoError(t, plans.Write(t.Context(), plan))
}
