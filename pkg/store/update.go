package store

import (
	"context"

	"github.com/pkg/errors"
)

// maxUpdateAttempts bounds the reads of a row by UpdateRow. A write fails if another writer
// has changed the row since the read.
const maxUpdateAttempts = 8

// UnknownOutcomeError is returned for a write without an answer from the store: it may have
// taken effect, or may do so later.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (u *UnknownOutcomeError) Error() string {
	return "the platform's store did not answer the write, so its outcome is unknown: " + u.Cause.Error()
}

// Unwrap implements errors.Unwrap.
func (u *UnknownOutcomeError) Unwrap() error { return u.Cause }

// UpdateRow reads a row, calls edit and writes the value that edit returns, on the condition
// that the row has not changed. It repeats this, also after a successful write, until edit
// returns nil because nothing is left to change, and returns the row of that call. edit
// gets a row of version 0 if the row does not exist. An UnknownOutcomeError means that the
// change may have been made or not.
func UpdateRow(ctx context.Context, table Table, key string, edit func(Row) (value []byte, err error)) (Row, error) {
	for range maxUpdateAttempts {
		row, err := table.Get(ctx, key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return Row{}, err
		}
		value, err := edit(row)
		if err != nil || value == nil {
			return row, err
		}
		err = table.Transact(ctx, []Write{{Key: key, IfVersion: row.Version, Value: value}})
		if err != nil && !errors.Is(err, ErrConflict) {
			return Row{}, &UnknownOutcomeError{Cause: err}
		}
	}
	return Row{}, errors.New("another writer changed the row during each attempt; try again")
}
