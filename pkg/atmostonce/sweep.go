package atmostonce

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/rushramp/rushramp/pkg/store"
)

const (
	// sweepRows is how many rows one sweep looks at.
	sweepRows = 100
	// sweepMargin is how many times the time of KeepFor a row is kept, so that
	// clocks of VMs may differ by as much.
	sweepMargin = 2
)

// Sweep deletes settled rows that are long past their time, from a random place
// on, and returns how many. A claimed row is never deleted: nobody knows its
// outcome. A deleted row lets a claim for version 0 win again; an executor that
// was paused with such a claim for longer than the rows are kept finds after
// the claim that its call's time is long over, and runs nothing.
func (cl *Claims) Sweep(ctx context.Context) (deleted int, err error) {
	var start [8]byte
	for i := range start {
		start[i] = byte(rand.IntN(256))
	}
	rows, err := cl.table.Scan(ctx, RowPrefix, RowPrefix+hex.EncodeToString(start[:]), sweepRows)
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
