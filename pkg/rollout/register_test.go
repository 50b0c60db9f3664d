package rollout

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
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
