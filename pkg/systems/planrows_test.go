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

// An order for a service that nobody runs: each daemon of the fleet reads its row
// for good. Bound asked for here: four reads a minute and daemon.
func TestFewReadsForAServiceNobodyRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		env.Rollouts = &fakeRegister{}
		system := newRolloutTracker(env)
		watch := newRolloutWatcher(env, system)
		mail := tables.Mail{RolloutOrders: ordersOf(9, orderOf("nobody", 8))}
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			system.Tick(env.Now(), &mail)
			watch.Tick(env.Now(), &mail)
			synctest.Wait()
			mail = env.World.Inbox.Take()
		}
		test.LessEq(t, 4, env.Rollouts.(*fakeRegister).reads)
	})
}

// TestWhoReadsForAServiceNobodyRuns: the first three of the fleet, and none of them once
// somebody runs it.
func TestWhoReadsForAServiceNobodyRuns(t *testing.T) {
	vms, readers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}, 0
	for _, own := range vms {
		env := testEnv()
		env.World.VM = own
		for _, vm := range vms {
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, Service: "other"})
		}
		rows := newPlanRows(env)
		if rows.isReader("nobody") {
			readers++
		}
		test.False(t, rows.isReader("other"))
	}
	test.Eq(t, watchersMost, readers)
}

// unreadableRegister is a register whose row nobody can read.
type unreadableRegister struct{ reads int }

func (u *unreadableRegister) Read(context.Context, string) (rollout.StoredPlan, error) {
	u.reads++
	return rollout.StoredPlan{}, errors.Wrap(rollout.ErrUnreadablePlan, "of a later release")
}

func (u *unreadableRegister) Write(context.Context, rollout.Plan) error { return nil }

// TestARowThatCannotBeReadIsReadSeldom, by a watcher too: ten times in the first minute,
// three in the next.
func TestARowThatCannotBeReadIsReadSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := &unreadableRegister{}
		env, known, watch := watched(t, &fakeRegister{})
		env.Rollouts = register
		play(env, known, watch, tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))}, time.Minute)
		test.LessEq(t, 10, register.reads)
		register.reads = 0
		play(env, known, watch, tables.Mail{}, time.Minute)
		test.LessEq(t, 3, register.reads)
	})
}

// clockedRegister is a fakeRegister with a clock that goes on.
type clockedRegister struct {
	fakeRegister
	began time.Time
}

func (c *clockedRegister) Read(ctx context.Context, s string) (rollout.StoredPlan, error) {
	out, err := c.fakeRegister.Read(ctx, s)
	out.Now += time.Since(c.began)
	return out, err
}

// The plan's row is deleted (or the table restored from a copy) while the roll-out runs:
// the watcher must not write in vain for good, and the roll-out must end.
func TestARowThatIsDeletedIsWrittenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := &clockedRegister{began: time.Now()}
		env, known, watch := watched(t, &register.fakeRegister)
		env.Rollouts = register
		play(env, known, watch, tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))}, time.Second)
		register.row = rollout.Plan{}
		play(env, known, watch, tables.Mail{}, 70*time.Second)
		writes, reads := register.writes, register.reads
		play(env, known, watch, tables.Mail{}, 60*time.Second)
		t.Log("calls in a minute after the deadline:", register.writes-writes, "writes,", register.reads-reads, "reads; row:", register.row.Phase, register.row.Order)
		test.LessEq(t, 10, register.writes-writes)
		test.True(t, register.row.Phase.Ended() && register.row.Order == 8)
	})
}
