package placement

import (
	"context"
	"fmt"
	"time"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// Feed tells of the documents and the evacuated data centres that a platform's
// operators write to the store themselves, where they do not use rushramp's own
// calls. Next returns store.ErrHistoryGone when the store has forgotten the changes
// since after. An update that comes with a DamagedError is right but for its
// document.
type Feed interface {
	// Newest reads the newest document and all evacuated data centres.
	Newest(ctx context.Context) (FeedUpdate, error)
	// Next waits up to wait for a change after a cursor.
	Next(ctx context.Context, after uint64, wait time.Duration) (FeedUpdate, error)
}

// FeedUpdate is what a Feed told.
type FeedUpdate struct {
	// Document is nil when nothing is new.
	Document *Document
	// Evacuations are those of all data centres that are evacuated, from Newest,
	// and the changes since the cursor, in their order, from Next.
	Evacuations []evacuation.Change
	// Rollouts are the orders of all services that have one, from Newest, and the
	// changes since the cursor, in their order, from Next. Refused are orders that
	// cannot be read, and are passed over.
	Rollouts      []rollout.OrderChange
	RolloutErrors []error
	// Cursor is where Next goes on.
	Cursor uint64
}

// UnreadableDocumentError is returned for a document that cannot be read. The feed goes on
// after it.
type UnreadableDocumentError struct{ Cause error }

// Error implements error.
func (d *UnreadableDocumentError) Error() string {
	return fmt.Sprintf("the placement document in the store cannot be read: %v. Correct it and write it again", d.Cause)
}
