package systems

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// countingVMList is a list of VMs that counts its reads and the entries written.
type countingVMList struct {
	store.Platform
	mu     sync.Mutex
	vms    []store.VM
	reads  int
	writes int
}

func (c *countingVMList) VMs(context.Context, string) ([]store.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	return c.vms, nil
}

func (c *countingVMList) Register(_ context.Context, vm store.VM) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	c.vms = append(c.vms, vm)
	return nil
}

// newStartEnv makes a daemon with a list of VMs, and what lets it run for a time.
func newStartEnv(t *testing.T, first bool, list *countingVMList) (env *Env, run func(time.Duration)) {
	env = testEnv()
	env.Settings.Platform.FirstStart = first
	env.Settings.Platform.VMListEvery = 20 * time.Second
	env.DaemonContext, env.Platform, env.Registrar = t.Context(), list, list
	systems := []System{
		&vmListReader{Env: env, outage: events.NewOutage(env.Log, "list")},
		&registration{Env: env, outage: events.NewOutage(env.Log, "entry")},
	}
	return env, func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			mail := env.World.Inbox.Take()
			for _, s := range systems {
				s.Tick(env.Now(), &mail)
			}
			synctest.Wait()
		}
	}
}

func tellMembers(env *Env, count int) {
	for n := range count {
		env.World.Members.Merge(env.Now(), nil, wire.Member{VM: fmt.Sprint("m", n), DataCentre: "here", Service: "s"})
	}
}

func TestAtTheFirstStartTheListIsReadAfterOthersHaveWrittenTheirEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &countingVMList{}
		_, run := newStartEnv(t, true, list)
		run(firstListAfter - time.Millisecond)
		test.Eq(t, 0, list.reads)
		test.Eq(t, 1, list.writes, test.Sprint("its own entry it writes at once"))
		// The ticks of this test are 20 ms apart.
		run(firstListWithin + 40*time.Millisecond)
		test.Eq(t, 1, list.reads)
	})
}

// TestADaemonThatWasToldOfOthersReadsTheListWhereItIsStartedAgain, and not at the
// first start of the whole system.
func TestADaemonThatWasToldOfOthersReadsTheListWhereItIsStartedAgain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first bool
		after time.Duration
		reads int
	}{
		{"first start", true, 2 * firstListWithin, 0},
		{"started again", false, 20 * time.Millisecond, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := &countingVMList{}
				env, run := newStartEnv(t, tc.first, list)
				tellMembers(env, toldEnough+1)
				run(tc.after)
				test.Eq(t, tc.reads, list.reads)
			})
		})
	}
}

func TestAnEntryThatStandsInTheListIsNotWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &countingVMList{}
		env, run := newStartEnv(t, false, list)
		list.vms = []store.VM{{ID: "other"}, (&registration{Env: env}).entry()}
		run(10 * time.Second)
		test.Eq(t, 0, list.writes)
	})
}

func TestAnEntryThatDiffersFromTheListIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &countingVMList{}
		env, run := newStartEnv(t, false, list)
		old := (&registration{Env: env}).entry()
		old.Links = "10.0.0.9:1"
		list.vms = []store.VM{old}
		run(10 * time.Second)
		test.Eq(t, 1, list.writes)
	})
}

// TestSeedsAreAskedOneAfterTheOther: 295 daemons that dialled all three seeds at
// once gave each of those 295 links.
func TestSeedsAreAskedOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		env.Settings.Listen.Links = "10.0.0.1:7000"
		env.Settings.Links.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
		dialled := countDials(env)
		s := &seedDialer{Env: env}
		s.Tick(env.Now(), &tables.Mail{})
		synctest.Wait()
		test.MapLen(t, 1, dialled)
		for range 2 {
			time.Sleep(seedEvery)
			s.Tick(env.Now(), &tables.Mail{})
			synctest.Wait()
		}
		test.Eq(t, map[string]int{"10.0.0.2:7000": 1, "10.0.0.3:7000": 1, "10.0.0.4:7000": 1}, dialled)
	})
}

func TestSeedsWaitAtTheFirstStart(t *testing.T) {
	env := testEnv()
	env.Settings.Platform.FirstStart = true
	env.Settings.Links.Seeds = []string{"10.0.0.2:1"}
	s := &seedDialer{Env: env}
	s.Tick(int64(seedsAtFirstStart)-1, &tables.Mail{})
	test.SliceEmpty(t, s.order)
}

func TestAtTheFirstStartOnlyTheFirstDaemonsFollowTheFeed(t *testing.T) {
	env := testEnv()
	env.Settings.Platform.FirstStart = true
	env.Settings.Placement.FeedReaders = 1
	f := newFeedFollower(env)
	test.False(t, f.mustFollow(1), test.Sprint("nobody knows the others yet"))
	test.True(t, f.mustFollow(int64(firstFollowAfter)), test.Sprint("alone"))
	// Some of these members come first; links to them there are none yet.
	tellMembers(env, 20)
	must.Positive(t, f.rankInDataCentre())
	test.False(t, f.mustFollow(int64(firstFollowAfter)))
	test.True(t, f.mustFollow(int64(firstFollowAll)), test.Sprint("nobody has told a version"))
	env.Settings.Platform.FirstStart = false
	test.True(t, f.mustFollow(1), test.Sprint("started again: it asks at once"))
}

func TestAtTheFirstStartOneDataCentresWordIsEnough(t *testing.T) {
	env := testEnv()
	env.Settings.Platform.FirstStart = true
	env.World.Members.Merge(1, nil, wire.Member{VM: "x", DataCentre: "b"})
	env.World.Members.Merge(1, nil, wire.Member{VM: "y", DataCentre: "c"})
	(&placements{Env: env}).Tick(1, &tables.Mail{Updates: []tables.PeerUpdate{updateFrom(t, "b", 4)}})
	test.Eq(t, 4, env.World.PlacementVersion())
}

// TestPeersOfTheOwnDataCentreAreComparedWithFirst: where a whole data centre
// lacks a row, one daemon fetches it from another data centre, not all.
func TestPeersOfTheOwnDataCentreAreComparedWithFirst(t *testing.T) {
	env := testEnv()
	c := &antiEntropy{Env: env, patience: time.Second}
	near := &link.Peer{Hello: wire.Hello{DataCentre: "here"}}
	far := &link.Peer{Hello: wire.Hello{DataCentre: "there"}}
	test.Eq(t, 0, c.wait(near), test.Sprint("a daemon that knows nobody asks at once"))
	test.Eq(t, nearFirst, c.wait(far))
	tellMembers(env, 3)
	test.Eq(t, differFor, c.wait(near))
	test.Eq(t, differFor+time.Second, c.wait(far))
}

// TestADaemonDoesNotSweepAtItsStart: it knows nobody yet and takes itself for a
// reader; 295 daemons made 295 calls to the store.
func TestADaemonDoesNotSweepAtItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		sweeps := 0
		env.SweepOnceRows = func(context.Context) (int, error) { sweeps++; return 0, nil }
		s := &onceSweeper{Env: env}
		s.Tick(1, &tables.Mail{})
		s.Tick(int64(sweepEvery), &tables.Mail{})
		synctest.Wait()
		test.Eq(t, 0, sweeps)
		s.Tick(1+int64(sweepEvery), &tables.Mail{})
		synctest.Wait()
		test.Eq(t, 1, sweeps)
	})
}
