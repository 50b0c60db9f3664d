package store

import (
	"context"

	"github.com/pkg/errors"
)

// mostTries bounds the tries of a change: each lost one means that another writer's
// change was made meanwhile.
const mostTries = 8

// UnknownOutcomeError is a write whose answer did not come: it may have been made, or
// be made later.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (u *UnknownOutcomeError) Error() string {
	return "the platform's store gave no answer to the write, so its outcome is unknown: " + u.Cause.Error()
}

// Unwrap implements errors.Unwrap.
func (u *UnknownOutcomeError) Unwrap() error { return u.Cause }

// UpdateRow writes what edit makes of a row, under the condition of the version that edit
// saw, and anew where another writer was first, so that changes of writers who race are
// all made. edit gets a row of version 0 where there is none, and returns nil once
// nothing is left to change; that row is returned. An UnknownOutcomeError leaves open
// whether the change was made; after any other one it was not.
func UpdateRow(ctx context.Context, table Table, key string, edit func(Row) (value []byte, err error)) (Row, error) {
	for range mostTries {
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
	return Row{}, errors.New("other operators changed the row each time; try again")
}
