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

// slowTable fails its first batch with a timeout, and answers the others at once.
type slowTable struct {
	store.Table
	// delay is the time that the first batch takes.
	delay    time.Duration
	requests int
}

func (s *slowTable) Batch(_ context.Context, writes []store.Write) ([]store.Result, error) {
	s.requests++
	if s.requests == 1 {
		time.Sleep(s.delay)
		return nil, context.DeadlineExceeded
	}
	return make([]store.Result, len(writes)), nil
}

// TestATimeoutDuringAPauseDoesNotMarkTheStoreDown: the store counts as down if a request ends
// at its timeout, but not if it takes much longer, as it does if the process is paused.
func TestATimeoutDuringAPauseDoesNotMarkTheStoreDown(t *testing.T) {
	const timeout = 500 * time.Millisecond
	for delay, refused := range map[time.Duration]bool{timeout: true, timeout + timeout/4: false, 3 * timeout: false} {
		synctest.Test(t, func(t *testing.T) {
			s := settings.Default()
			table := &slowTable{delay: delay}
			w := newWriter(common.NewCommon(events.Discard(), &s), table, timeout)
			w.writeAsync(store.Write{Key: "first"}, func(writeResult) {})
			time.Sleep(delay)
			synctest.Wait()
			got := w.writeAndWait(store.Write{Key: "second"}, time.Now().Add(timeout))
			if refused {
				must.ErrorIs(t, got.err, errStoreDown)
				test.False(t, got.sent)
				return
			}
			must.NoError(t, got.err)
		})
	}
}
