package evacuation

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

// rowKey is where the set stands in the platform's table, where operators use
// rushramp's own calls.
const rowKey = "evacuation/set"

// Register is the set in the platform's table. Its row is never removed, so that the
// row's version orders all sets.
type Register struct{ table store.Table }

// NewRegister makes the register of a platform's table.
func NewRegister(table store.Table) *Register { return &Register{table: table} }

// Read returns the newest set; the zero value where nothing was ever evacuated.
func (r *Register) Read(ctx context.Context) (Set, error) {
	found, err := r.table.Get(ctx, rowKey)
	if errors.Is(err, store.ErrNotFound) {
		return Set{}, nil
	}
	if err != nil {
		return Set{}, err
	}
	return decode(found)
}

// Change makes one change and returns the set after it. Changes of operators who
// race are all made. An error leaves open whether this one was; to make it again
// harms nothing.
func (r *Register) Change(ctx context.Context, c Change) (Set, error) {
	row, err := store.Change(ctx, r.table, rowKey, func(row store.Row) ([]byte, error) {
		before, err := decode(row)
		if err != nil {
			return nil, err
		}
		after := before.With(before.Revision, []Change{c})
		if after.SameDataCentres(before) {
			return nil, nil
		}
		value, err := json.Marshal(after.DataCentres)
		return value, errors.Wrap(err, "evacuated data centres")
	})
	if err != nil {
		return Set{}, err
	}
	return decode(row)
}

// decode reads the row; one that does not exist is the zero value.
func decode(row store.Row) (Set, error) {
	if row.Version == 0 {
		return Set{}, nil
	}
	out := Set{Revision: row.Version}
	return out, errors.Wrap(json.Unmarshal(row.Value, &out.DataCentres), "evacuated data centres")
}
