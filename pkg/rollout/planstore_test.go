package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
)

// TestAPlanThatNobodyCouldReadIsNotWritten: its row would stand in everybody's way.
func TestAPlanThatNobodyCouldReadIsNotWritten(t *testing.T) {
	plan := planOf(orderOf(5, "v2"), 0, Canary)
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

// TestPlansInAPlatformsTable: one of two writers wins, and reads what stands there.
func TestPlansInAPlatformsTable(t *testing.T) {
	register := NewTablePlanStore(fakestore.New(), func() time.Duration { return time.Hour })
	none, err := register.Read(t.Context(), "desk")
	must.NoError(t, err)
	test.Eq(t, StoredPlan{Now: time.Hour}, none)
	plan := planOf(orderOf(5, "v2"), 0, Canary)
	must.NoError(t, register.Write(t.Context(), plan))
	must.ErrorIs(t, register.Write(t.Context(), plan), store.ErrConflict)
	read, err := register.Read(t.Context(), "desk")
	must.NoError(t, err)
	plan.Revision = read.Plan.Revision
	test.Eq(t, plan, read.Plan)
	plan.Phase = Switching
	must.NoError(t, register.Write(t.Context(), plan))
}
