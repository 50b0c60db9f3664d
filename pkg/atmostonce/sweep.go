package atmostonce

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/rushramp/rushramp/pkg/store"
)

const (
	// maxSweepRows is the maximum number of rows that one sweep reads.
	maxSweepRows = 100
	// sweepMargin is the number of KeepFor periods after which a row is deleted. The
	// second period allows for differences between the wall clocks of VMs.
	sweepMargin = 2
)

// Sweep deletes rows in the states Finished and Sealed that are older than sweepMargin
// times KeepFor, from a random key on, and returns how many it deleted. It never deletes a
// claimed row, because the outcome of its call is unknown. After a deletion, a claim for
// version 0 of the row succeeds again, also one of an executor that was paused for all that
// time. Such an executor does not run the call: it checks the deadline after the claim.
func (cl *Claims) Sweep(ctx context.Context) (deleted int, err error) {
	var start [8]byte
	for i := range start {
		start[i] = byte(rand.IntN(256))
	}
	rows, err := cl.table.Scan(ctx, RowPrefix, RowPrefix+hex.EncodeToString(start[:]), maxSweepRows)
	if err != nil {
		return 0, err
	}
	var writes []store.Write
	for _, stored := range rows {
		row, decodeErr := Decode(stored)
		if decodeErr == nil && row.State != Claimed && time.Since(row.At) > sweepMargin*cl.ttl {
			writes = append(writes, store.Write{Key: stored.Key, IfVersion: stored.Version, Delete: true})
		}
	}
	if len(writes) == 0 {
		return 0, nil
	}
	results, err := cl.table.Batch(ctx, writes)
	for _, r := range results {
		if r.Applied {
			deleted++
		}
	}
	return deleted, err
}
