package systems

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestFewReadsOfAPlanWhoseServiceRunsNowhere: every daemon of the fleet read the plan of
// such a service forever. A daemon may read it four times in the first minute.
func TestFewReadsOfAPlanWhoseServiceRunsNowhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		env.PlanStore = &fakePlanStore{}
		tracker := newRolloutTracker(env)
		watcher := newRolloutWatcher(env, tracker)
		mail := tables.Mail{RolloutOrders: testOrders(9, testOrder("nobody", 8))}
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			tracker.Tick(env.Now(), &mail)
			watcher.Tick(env.Now(), &mail)
			synctest.Wait()
			mail = env.World.Inbox.Take()
		}
		test.LessEq(t, 4, env.PlanStore.(*fakePlanStore).reads)
	})
}

// TestThreeDaemonsReadThePlanOfAServiceThatRunsNowhere, and none if the service runs on
// some VM.
func TestThreeDaemonsReadThePlanOfAServiceThatRunsNowhere(t *testing.T) {
	vms, readers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}, 0
	for _, own := range vms {
		env := testEnv()
		env.World.VM = own
		for _, vm := range vms {
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, Service: "other"})
		}
		rows := newPlanRows(env)
		if rows.isPlanReader("nobody") {
			readers++
		}
		test.False(t, rows.isPlanReader("other"))
	}
	test.Eq(t, maxWatchers, readers)
}

// unreadablePlanStore is a PlanStore whose row cannot be decoded. It counts the reads.
type unreadablePlanStore struct{ reads int }

func (u *unreadablePlanStore) Read(context.Context, string) (rollout.StoredPlan, error) {
	u.reads++
	return rollout.StoredPlan{}, errors.Wrap(rollout.ErrUnreadablePlan, "of a later release")
}

func (u *unreadablePlanStore) Write(context.Context, rollout.Plan) error { return nil }

// TestUnreadablePlanIsRarelyRead: a watcher reads it at most ten times in the first
// minute and three times in the next.
func TestUnreadablePlanIsRarelyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planStore := &unreadablePlanStore{}
		env, tracker, watcher := newTestWatcher(t, &fakePlanStore{})
		env.PlanStore = planStore
		runFor(env, tracker, watcher, tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))}, time.Minute)
		test.LessEq(t, 10, planStore.reads)
		planStore.reads = 0
		runFor(env, tracker, watcher, tables.Mail{}, time.Minute)
		test.LessEq(t, 3, planStore.reads)
	})
}

// runningClockPlanStore is a fakePlanStore whose clock advances.
type runningClockPlanStore struct {
	fakePlanStore
	began time.Time
}

func (c *runningClockPlanStore) Read(ctx context.Context, s string) (rollout.StoredPlan, error) {
	out, err := c.fakePlanStore.Read(ctx, s)
	out.Now += time.Since(c.began)
	return out, err
}

// TestDeletedPlanIsWrittenAgain: the plan's row is deleted, or the table is restored from
// an older copy, while the roll-out is under way. The watcher's writes must not conflict
// forever, and the roll-out must end.
func TestDeletedPlanIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planStore := &runningClockPlanStore{began: time.Now()}
		env, tracker, watcher := newTestWatcher(t, &planStore.fakePlanStore)
		env.PlanStore = planStore
		runFor(env, tracker, watcher, tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))}, time.Second)
		planStore.row = rollout.Plan{}
		runFor(env, tracker, watcher, tables.Mail{}, 70*time.Second)
		writes, reads := planStore.writes, planStore.reads
		runFor(env, tracker, watcher, tables.Mail{}, 60*time.Second)
		t.Log("calls in a minute after the deadline:", planStore.writes-writes, "writes,", planStore.reads-reads, "reads; row:", planStore.row.Phase, planStore.row.Order)
		test.LessEq(t, 10, planStore.writes-writes)
		test.True(t, planStore.row.Phase.Ended() && planStore.row.Order == 8)
	})
}
