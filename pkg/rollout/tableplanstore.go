package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

// planKeyPrefix begins the keys of the plans in the platform's table. tablePlanStore is for
// platforms where operators use rushramp's own API, so it stores no separate state for
// operators beside the plan.
const planKeyPrefix = "rollout/"

// tablePlanStore is a PlanStore in a platform's table, which has no clock of its own.
type tablePlanStore struct {
	table store.Table
	now   func() time.Duration
}

// NewTablePlanStore returns a plan store in a platform's table. now stands for the
// store's clock and should be the same at all daemons. Where it is the clock of each VM,
// a deadline is wrong by as much as two of them differ.
func NewTablePlanStore(table store.Table, now func() time.Duration) PlanStore {
	return &tablePlanStore{table: table, now: now}
}

// Read implements PlanStore.
func (s *tablePlanStore) Read(ctx context.Context, service string) (StoredPlan, error) {
	out := StoredPlan{Now: s.now()}
	found, err := s.table.Get(ctx, planKeyPrefix+service)
	if errors.Is(err, store.ErrNotFound) {
		return out, nil
	}
	if err != nil {
		return StoredPlan{}, err
	}
	out.Plan, err = DecodePlan(service, found.Value, found.Version)
	return out, err
}

// Write implements PlanStore.
func (s *tablePlanStore) Write(ctx context.Context, plan Plan) error {
	value, err := plan.Encode()
	if err != nil {
		return err
	}
	return s.table.Transact(ctx, []store.Write{{Key: planKeyPrefix + plan.Service, IfVersion: plan.Revision, Value: value}})
}
