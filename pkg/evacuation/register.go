package evacuation

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

// rowKey is the key of the row that holds the set in the platform's table. It is used
// where operators evacuate by calls to rushramp.
const rowKey = "evacuation/set"

// Register reads and changes the set in the platform's table. The row is never deleted,
// so its version orders all sets.
type Register struct{ table store.Table }

// NewRegister returns the register in a platform's table.
func NewRegister(table store.Table) *Register { return &Register{table: table} }

// Read returns the current set, or the zero value if no data centre was ever evacuated.
// It fails if the table cannot be read.
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

// Change applies one change and returns the set after it. Concurrent changes are all
// applied. After an error the change may or may not have been applied; it is safe to
// repeat it.
func (r *Register) Change(ctx context.Context, c Change) (Set, error) {
	row, err := store.UpdateRow(ctx, r.table, rowKey, func(row store.Row) ([]byte, error) {
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

// decode returns the set in a row; a row that does not exist is the zero value.
func decode(row store.Row) (Set, error) {
	if row.Version == 0 {
		return Set{}, nil
	}
	out := Set{Revision: row.Version}
	return out, errors.Wrap(json.Unmarshal(row.Value, &out.DataCentres), "evacuated data centres")
}
