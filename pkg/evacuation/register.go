package evacuation

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

const (
	// row is where the set stands in the platform's table, where operators use
	// rushramp's own calls.
	row = "evacuation/set"
	// mostTries bounds the tries of a change: each lost one means that another
	// operator's change was made meanwhile.
	mostTries = 8
)

// Register is the set in the platform's table. Its row is never removed, so that the
// row's version orders all sets.
type Register struct{ table store.Table }

// NewRegister makes the register of a platform's table.
func NewRegister(table store.Table) *Register { return &Register{table: table} }

// Read returns the newest set; the zero value where nothing was ever evacuated.
func (r *Register) Read(ctx context.Context) (Set, error) {
	found, err := r.table.Get(ctx, row)
	if errors.Is(err, store.ErrNotFound) {
		return Set{}, nil
	}
	if err != nil {
		return Set{}, err
	}
	out := Set{Revision: found.Version}
	return out, errors.Wrap(json.Unmarshal(found.Value, &out.DataCentres), "evacuated data centres")
}

// Change makes one change and returns the set after it. Changes of operators who
// race are all made. An error leaves open whether this one was; to make it again
// harms nothing.
func (r *Register) Change(ctx context.Context, c Change) (Set, error) {
	for range mostTries {
		before, err := r.Read(ctx)
		if err != nil {
			return Set{}, err
		}
		after := before.With(before.Revision, []Change{c})
		if after.Same(before) {
			return before, nil
		}
		err = r.write(ctx, before.Revision, after)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return Set{}, err
		}
	}
	return Set{}, errors.New("other operators changed the set each time; try again")
}

func (r *Register) write(ctx context.Context, revision uint64, set Set) error {
	value, err := json.Marshal(set.DataCentres)
	if err != nil {
		return errors.Wrap(err, "evacuated data centres")
	}
	return r.table.Transact(ctx, []store.Write{{Key: row, IfVersion: revision, Value: value}})
}
