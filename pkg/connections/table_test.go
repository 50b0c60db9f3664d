package connections

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// testTable is a table whose connections record that they are closed.
type testTable struct {
	*Table
	closed map[*Entry]bool
}

func newTestTable(limits Limits) *testTable {
	return &testTable{Table: NewTable("test", limits, metrics.NewSet()), closed: map[*Entry]bool{}}
}

// open opens a connection and reports whether the table has admitted it.
func (t *testTable) open(e *Entry) bool { return t.Open(e, func() { t.closed[e] = true }) }

func (t *testTable) mustOpen(tt *testing.T) *Entry {
	e := t.NewEntry()
	must.True(tt, t.open(e))
	return e
}

// TestTheLongestStalledConnectionMakesRoom guards against crowds of connections that keep
// other callers out.
func TestTheLongestStalledConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(Limits{Count: 2})
		first, second := table.mustOpen(t), table.mustOpen(t)
		test.False(t, table.open(table.NewEntry()), test.Sprint("no connection has stalled"))
		time.Sleep(minStall)
		first.Progress()
		table.mustOpen(t)
		synctest.Wait()
		test.False(t, table.closed[first])
		test.True(t, table.closed[second])
	})
}

// TestRequestsThatRunAreNotClosed guards against cutting requests to make room.
func TestRequestsThatRunAreNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(Limits{Count: 1})
		first := table.mustOpen(t)
		first.BeginRun()
		time.Sleep(time.Minute)
		test.False(t, table.open(table.NewEntry()))
		first.EndRun()
		test.False(t, table.open(table.NewEntry()), test.Sprint("the connection has just been answered"))
		time.Sleep(minStall)
		table.mustOpen(t)
		synctest.Wait()
		test.True(t, table.closed[first])
	})
}

// TestTheCostliestConnectionMakesRoom: what holds much for a short time is closed before what
// holds little for a long time.
func TestTheCostliestConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(Limits{Bytes: 4 * 1_000_000})
		idle := table.mustOpen(t)
		time.Sleep(10 * minStall)
		large := table.mustOpen(t)
		must.True(t, large.Grow(2_000_000))
		time.Sleep(minStall)
		next := table.mustOpen(t)
		test.True(t, next.Grow(2_000_000))
		synctest.Wait()
		test.True(t, table.closed[large])
		test.False(t, table.closed[idle])
		test.False(t, large.Grow(1), test.Sprint("the connection is closed"))
		next.Close()
		idle.Close()
		test.Eq(t, 0, table.held())
		test.Eq(t, 0, table.count())
	})
}

// TestLargeGrowthLeavesRoomForOrdinaryPeers guards against requests of many header lines that
// use up the memory of ordinary ones.
func TestLargeGrowthLeavesRoomForOrdinaryPeers(t *testing.T) {
	table := newTestTable(Limits{Bytes: 4 * 1_000_000})
	e := table.mustOpen(t)
	test.False(t, e.Grow(3_000_001-connBytes))
	test.True(t, e.Grow(3_000_000-connBytes))
	test.True(t, table.mustOpen(t).Grow(largeBytes))
	e.Shrink(3_000_000 - connBytes)
	test.Eq(t, 2*connBytes+largeBytes, table.held())
}

// TestNilTableHasNoLimits: listeners without a table use nil entries.
func TestNilTableHasNoLimits(t *testing.T) {
	var table *Table
	e := table.NewEntry()
	test.True(t, table.Open(e, func() {}))
	e.BeginRun()
	e.EndRun()
	test.True(t, e.Grow(1<<40))
	e.Shrink(1 << 40)
	e.Close()
}

func TestLimitsOf(t *testing.T) {
	got := LimitsOf(184_000_000, 600)
	test.Eq(t, Limits{Bytes: 36_800_000, Count: 200}, got)
	test.Eq(t, 0, LimitsOf(0, 0).Bytes)
}

// TestUnreadAnswersMakeRoom guards against answers that nobody reads. Their connections may be
// closed even if other requests of theirs run.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(Limits{Bytes: 4 * 1_000_000})
		unread, next := table.mustOpen(t), table.mustOpen(t)
		next.BeginRun()
		unread.BeginRun()
		must.True(t, unread.GrowAtOnce(2_000_000))
		test.False(t, next.GrowAtOnce(2_000_000))
		unread.BeginWrite()
		time.Sleep(minStall / 2)
		test.False(t, next.Grow(2_000_000), test.Sprint("the peer has not stalled for long"))
		test.True(t, next.GrowAtOnce(2_000_000))
		synctest.Wait()
		test.True(t, table.closed[unread])
		test.Eq(t, 2_000_000+connBytes, table.held())
	})
}

// heldBody is a Body of a fixed size.
type heldBody struct {
	bytes    int64
	released bool
}

func (b *heldBody) Reserved() int64 { return b.bytes }
func (b *heldBody) Release()        { b.released = true }

// TestStalledBodiesMakeRoom guards against bodies that stop short of their end and use up the
// memory for bodies.
func TestStalledBodiesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(Limits{})
		small, large, received, next := table.mustOpen(t), table.mustOpen(t), table.mustOpen(t), table.mustOpen(t)
		smallBody, largeBody, receivedBody := &heldBody{bytes: 1000}, &heldBody{bytes: 2000}, &heldBody{bytes: 3000}
		small.BeginBody(smallBody)
		large.BeginBody(largeBody)
		received.BeginBody(receivedBody)
		received.EndBody()
		next.BeginBody(&heldBody{bytes: 4000})
		test.False(t, next.EvictBody(), test.Sprint("no body has stalled"))
		time.Sleep(minStall)
		test.True(t, next.EvictBody())
		synctest.Wait()
		test.True(t, largeBody.released && table.closed[large])
		test.False(t, smallBody.released || receivedBody.released)
		test.True(t, next.EvictBody())
		test.False(t, next.EvictBody())
		test.False(t, receivedBody.released)
	})
}
