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
		env.Background = t.Context()
		env.Rollouts = &fakeRegister{}
		system := newRollouts(env)
		watch := newRolloutWatch(env, system)
		mail := tables.Mail{Orders: ordersOf(9, orderOf("nobody", 8))}
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

func (u *unreadableRegister) Read(context.Context, string) (rollout.Stored, error) {
	u.reads++
	return rollout.Stored{}, errors.Wrap(rollout.ErrUnreadable, "of a later release")
}

func (u *unreadableRegister) Write(context.Context, rollout.Plan) error { return nil }

// TestARowThatCannotBeReadIsReadSeldom, by a watcher too: ten times in the first minute,
// three in the next.
func TestARowThatCannotBeReadIsReadSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := &unreadableRegister{}
		env, known, watch := watched(t, &fakeRegister{})
		env.Rollouts = register
		play(env, known, watch, tables.Mail{Orders: ordersOf(9, orderOf("s", 8))}, time.Minute)
		test.LessEq(t, 10, register.reads)
		register.reads = 0
		play(env, known, watch, tables.Mail{}, time.Minute)
		test.LessEq(t, 3, register.reads)
	})
}
