package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

// prefixPlan begins the keys of the plans in the platform's table, where operators use
// rushramp's own calls. Operators read the state in the plan itself.
const prefixPlan = "rollout/"

// tableRegister is a Register over a platform's table, which has no clock of its own.
type tableRegister struct {
	table store.Table
	now   func() time.Duration
}

// NewTablePlanStore makes the register of a platform's table. now is a clock that all
// daemons share; where it is their VMs' own, a deadline is off by as much as two of
// them differ.
func NewTablePlanStore(table store.Table, now func() time.Duration) PlanStore {
	return &tableRegister{table: table, now: now}
}

// Read implements Register.
func (r *tableRegister) Read(ctx context.Context, service string) (StoredPlan, error) {
	out := StoredPlan{Now: r.now()}
	found, err := r.table.Get(ctx, prefixPlan+service)
	if errors.Is(err, store.ErrNotFound) {
		return out, nil
	}
	if err != nil {
		return StoredPlan{}, err
	}
	out.Plan, err = DecodePlan(service, found.Value, found.Version)
	return out, err
}

// Write implements Register.
func (r *tableRegister) Write(ctx context.Context, plan Plan) error {
	value, err := plan.Encode()
	if err != nil {
		return err
	}
	return r.table.Transact(ctx, []store.Write{{Key: prefixPlan + plan.Service, IfVersion: plan.Revision, Value: value}})
}
