package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const second = int64(time.Second)

func holds(t *Table, now int64, request Fingerprint) bool {
	_, held := t.Held(now, request)
	return held
}

// TestTwoCrashesHoldTheOneContentThatRanInBoth and three hold each that ran in all.
func TestTwoCrashesHoldTheOneContentThatRanInBoth(t *testing.T) {
	table := NewTable()
	test.False(t, table.AnySuspects())
	table.RecordCrash(second, 1, []Fingerprint{10, 11, 12})
	test.True(t, table.AnySuspects())
	test.False(t, holds(table, second, 10), test.Sprint("one crash tells nothing"))
	table.RecordCrash(2*second, 2, []Fingerprint{10, 13})
	test.True(t, holds(table, 2*second, 10))
	test.False(t, holds(table, 2*second, 13))

	table.RecordCrash(3*second, 3, []Fingerprint{20, 21})
	table.RecordCrash(4*second, 4, []Fingerprint{20, 21, 22})
	test.False(t, holds(table, 4*second, 20), test.Sprint("either of two"))
	table.RecordCrash(5*second, 5, []Fingerprint{20, 22})
	test.True(t, holds(table, 5*second, 20))
	test.False(t, holds(table, 5*second, 21))
}

// TestARunToItsEndFreesAContent: it only ran beside one that ends backend servers.
func TestARunToItsEndFreesAContent(t *testing.T) {
	table := NewTable()
	table.RecordCrash(second, 1, []Fingerprint{10, 11})
	table.RecordCrash(2*second, 2, []Fingerprint{10, 11})
	test.False(t, holds(table, 2*second, 10))
	table.RecordCompletion(3*second, 11)
	test.True(t, holds(table, 3*second, 10), test.Sprint("it is alone now"))
	table.RecordCompletion(4*second, 10)
	test.False(t, holds(table, 4*second, 10))
	test.Len(t, 0, table.CrashesAgainst(4*second, 10))
	// What comes late does not count either.
	table.Merge(5*second, Update{Crashes: []Crash{{ID: 3, Requests: []Fingerprint{10}, AgeMS: 2000}, {ID: 4, Requests: []Fingerprint{10}, AgeMS: 1500}}})
	test.False(t, holds(table, 5*second, 10))
	table.RecordCrash(6*second, 5, []Fingerprint{10})
	table.RecordCrash(7*second, 6, []Fingerprint{10})
	test.True(t, holds(table, 7*second, 10))
}

// TestOneCrashMoreHoldsAContentAnew once its time was over.
func TestOneCrashMoreHoldsAContentAnew(t *testing.T) {
	table := NewTable()
	table.RecordCrash(second, 1, []Fingerprint{10})
	table.RecordCrash(2*second, 2, []Fingerprint{10})
	left, held := table.Held(3*second, 10)
	must.True(t, held)
	test.Eq(t, holdFor-time.Second, left)
	later := 2*second + int64(holdFor)
	test.False(t, holds(table, later, 10))
	table.RecordCrash(later, 3, []Fingerprint{10})
	test.True(t, holds(table, later, 10))

	forgotten := later + int64(CrashRetention) + 1
	test.Len(t, 0, table.Snapshot(forgotten).Crashes)
	test.False(t, table.AnySuspects())
}

// TestWhatIsOlderThanTheProcessCounts: a daemon that was just started hears of it.
func TestWhatIsOlderThanTheProcessCounts(t *testing.T) {
	table := NewTable()
	fresh := table.Merge(1, Update{Crashes: []Crash{{ID: 1, Requests: []Fingerprint{10}, AgeMS: 60_000}, {ID: 2, Requests: []Fingerprint{10}, AgeMS: 30_000}}})
	test.Len(t, 2, fresh.Crashes)
	left, held := table.Held(1, 10)
	must.True(t, held)
	test.Eq(t, holdFor-30*time.Second, left)
	test.False(t, func() bool { n := table.TakePending(); return !n.Empty() }(), test.Sprint("what others told is not told as own"))
}

// TestTablesThatHeardTheSameAgree, in whatever order and how often they did.
func TestTablesThatHeardTheSameAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 100 * second
		var told []Update
		for id := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			requests := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 4), 1, 3, rapid.ID).Draw(t, "requests")
			c := Crash{ID: uint64(id), AgeMS: rapid.Uint64Range(0, 50_000).Draw(t, "age")}
			for _, r := range requests {
				c.Requests = append(c.Requests, Fingerprint(r))
			}
			told = append(told, Update{Crashes: []Crash{c}})
		}
		for range rapid.IntRange(0, 3).Draw(t, "completions") {
			told = append(told, Update{Completions: []Completion{{Request: Fingerprint(rapid.Uint64Range(1, 4).Draw(t, "request")), AgeMS: rapid.Uint64Range(0, 50_000).Draw(t, "age")}}})
		}
		// A completion tells nothing to one that has not heard of a crash; it is told
		// with all else over the next link.
		first, second := NewTable(), NewTable()
		for _, n := range told {
			first.Merge(now, n)
		}
		for _, n := range rapid.Permutation(told).Draw(t, "order") {
			second.Merge(now, n)
			second.Merge(now, n)
		}
		first.Merge(now, second.Snapshot(now))
		second.Merge(now, first.Snapshot(now))
		for r := Fingerprint(1); r <= 4; r++ {
			if holds(first, now, r) != holds(second, now, r) {
				t.Fatalf("content %s: %v and %v", r, holds(first, now, r), holds(second, now, r))
			}
		}
		if fresh := second.Merge(now, first.Snapshot(now)); !fresh.Empty() {
			t.Fatalf("still news: %v", fresh)
		}
	})
}

// TestTheTableStaysBounded, with the newest crashes kept.
func TestTheTableStaysBounded(t *testing.T) {
	table := NewTable()
	many := make([]Fingerprint, 2*MaxRequestsPerCrash)
	for n := range 3 * mostCrashes {
		for i := range many {
			many[i] = Fingerprint(n*len(many) + i)
		}
		table.RecordCrash(int64(n+1)*int64(time.Millisecond), uint64(n+1), many)
		_ = table.TakePending()
	}
	all := table.Snapshot(second)
	test.Len(t, mostCrashes, all.Crashes)
	test.MapLen(t, mostCrashes*MaxRequestsPerCrash, table.suspects)
	for _, c := range all.Crashes {
		test.Greater(t, 2*mostCrashes, int(c.ID), test.Sprint(fmt.Sprint("crash ", c.ID)))
	}
}

func BenchmarkHeldAmongMany(b *testing.B) {
	table := NewTable()
	for n := range uint64(100) {
		table.RecordCrash(second, n+1, []Fingerprint{Fingerprint(n), Fingerprint(n + 1000), Fingerprint(n + 2000)})
	}
	for b.Loop() {
		table.Held(second, 7)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	content := Content{Method: "GET", Host: "h.example", Target: "/leny950/2f?page=3", Body: make([]byte, 4096)}
	for b.Loop() {
		content.Fingerprint()
	}
}
