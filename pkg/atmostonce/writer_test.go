package atmostonce

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/store"
)

// slowTable answers its first batch with a time-out after a while, and the others
// at once.
type slowTable struct {
	store.Table
	after time.Duration
	asked int
}

func (s *slowTable) Batch(_ context.Context, writes []store.Write) ([]store.Result, error) {
	s.asked++
	if s.asked == 1 {
		time.Sleep(s.after)
		return nil, context.DeadlineExceeded
	}
	return make([]store.Result, len(writes)), nil
}

// TestAPausedProcessDoesNotTakeTheStoreForDown: a call that timed out while the
// process stood still tells nothing of the store; one that timed out by itself does.
func TestAPausedProcessDoesNotTakeTheStoreForDown(t *testing.T) {
	const timeout = 500 * time.Millisecond
	for after, refused := range map[time.Duration]bool{timeout: true, timeout + timeout/4: false, 3 * timeout: false} {
		synctest.Test(t, func(t *testing.T) {
			s := settings.Default()
			table := &slowTable{after: after}
			w := newWriter(common.NewCommon(events.Discard(), &s), table, timeout)
			w.post(store.Write{Key: "first"}, func(writeResult) {})
			time.Sleep(after)
			synctest.Wait()
			got := w.do(store.Write{Key: "second"}, time.Now().Add(timeout))
			if refused {
				must.ErrorIs(t, got.err, errStoreDown)
				test.False(t, got.sent)
				return
			}
			must.NoError(t, got.err)
		})
	}
}
