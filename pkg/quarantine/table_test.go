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

func isQuarantined(t *Table, now int64, request Fingerprint) bool {
	_, quarantined := t.Quarantined(now, request)
	return quarantined
}

// TestContentIsQuarantinedAfterTwoOrThreeCrashes: two are enough for the only content that ran in
// both, three for each content that ran in all.
func TestContentIsQuarantinedAfterTwoOrThreeCrashes(t *testing.T) {
	table := NewTable()
	test.False(t, table.AnySuspects())
	table.RecordCrash(second, 1, []Fingerprint{10, 11, 12})
	test.True(t, table.AnySuspects())
	test.False(t, isQuarantined(table, second, 10), test.Sprint("one crash is not enough"))
	table.RecordCrash(2*second, 2, []Fingerprint{10, 13})
	test.True(t, isQuarantined(table, 2*second, 10))
	test.False(t, isQuarantined(table, 2*second, 13))

	table.RecordCrash(3*second, 3, []Fingerprint{20, 21})
	table.RecordCrash(4*second, 4, []Fingerprint{20, 21, 22})
	test.False(t, isQuarantined(table, 4*second, 20), test.Sprint("two contents ran in both crashes"))
	table.RecordCrash(5*second, 5, []Fingerprint{20, 22})
	test.True(t, isQuarantined(table, 5*second, 20))
	test.False(t, isQuarantined(table, 5*second, 21))
}

// TestCompletionReleasesAContent: a content that runs to completion did not cause the
// crashes before it.
func TestCompletionReleasesAContent(t *testing.T) {
	table := NewTable()
	table.RecordCrash(second, 1, []Fingerprint{10, 11})
	table.RecordCrash(2*second, 2, []Fingerprint{10, 11})
	test.False(t, isQuarantined(table, 2*second, 10))
	table.RecordCompletion(3*second, 11)
	test.True(t, isQuarantined(table, 3*second, 10), test.Sprint("no other suspect ran in both crashes"))
	table.RecordCompletion(4*second, 10)
	test.False(t, isQuarantined(table, 4*second, 10))
	test.Len(t, 0, table.CrashesAgainst(4*second, 10))
	// Crashes that are reported later but are older than the completion do not count.
	table.Merge(5*second, Update{Crashes: []Crash{{ID: 3, Contents: []Fingerprint{10}, AgeMS: 2000}, {ID: 4, Contents: []Fingerprint{10}, AgeMS: 1500}}})
	test.False(t, isQuarantined(table, 5*second, 10))
	table.RecordCrash(6*second, 5, []Fingerprint{10})
	table.RecordCrash(7*second, 6, []Fingerprint{10})
	test.True(t, isQuarantined(table, 7*second, 10))
}

// TestOneMoreCrashQuarantinesAContentAgain: the crashes before its first quarantine still count.
func TestOneMoreCrashQuarantinesAContentAgain(t *testing.T) {
	table := NewTable()
	table.RecordCrash(second, 1, []Fingerprint{10})
	table.RecordCrash(2*second, 2, []Fingerprint{10})
	remaining, quarantined := table.Quarantined(3*second, 10)
	must.True(t, quarantined)
	test.Eq(t, quarantineDuration-time.Second, remaining)
	later := 2*second + int64(quarantineDuration)
	test.False(t, isQuarantined(table, later, 10))
	table.RecordCrash(later, 3, []Fingerprint{10})
	test.True(t, isQuarantined(table, later, 10))

	expired := later + int64(CrashRetention) + 1
	test.Len(t, 0, table.Snapshot(expired).Crashes)
	test.False(t, table.AnySuspects())
}

// TestCrashesBeforeTheStartCount: a newly started daemon learns of them from others.
func TestCrashesBeforeTheStartCount(t *testing.T) {
	table := NewTable()
	added := table.Merge(1, Update{Crashes: []Crash{{ID: 1, Contents: []Fingerprint{10}, AgeMS: 60_000}, {ID: 2, Contents: []Fingerprint{10}, AgeMS: 30_000}}})
	test.Len(t, 2, added.Crashes)
	remaining, quarantined := table.Quarantined(1, 10)
	must.True(t, quarantined)
	test.Eq(t, quarantineDuration-30*time.Second, remaining)
	test.False(t, func() bool { n := table.TakePending(); return !n.Empty() }(), test.Sprint("reports of other daemons are not pending"))
}

// TestTablesWithTheSameUpdatesAgree: the order of updates and repeated ones do not matter.
func TestTablesWithTheSameUpdatesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 100 * second
		var updates []Update
		for id := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			requests := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 4), 1, 3, rapid.ID).Draw(t, "requests")
			c := Crash{ID: uint64(id), AgeMS: rapid.Uint64Range(0, 50_000).Draw(t, "age")}
			for _, r := range requests {
				c.Contents = append(c.Contents, Fingerprint(r))
			}
			updates = append(updates, Update{Crashes: []Crash{c}})
		}
		for range rapid.IntRange(0, 3).Draw(t, "completions") {
			updates = append(updates, Update{Completions: []Completion{{Content: Fingerprint(rapid.Uint64Range(1, 4).Draw(t, "request")), AgeMS: rapid.Uint64Range(0, 50_000).Draw(t, "age")}}})
		}
		// A table ignores a completion without a crash before it. It gets the completion
		// again with the snapshot on the next link.
		first, other := NewTable(), NewTable()
		for _, u := range updates {
			first.Merge(now, u)
		}
		for _, u := range rapid.Permutation(updates).Draw(t, "order") {
			other.Merge(now, u)
			other.Merge(now, u)
		}
		first.Merge(now, other.Snapshot(now))
		other.Merge(now, first.Snapshot(now))
		for r := Fingerprint(1); r <= 4; r++ {
			if isQuarantined(first, now, r) != isQuarantined(other, now, r) {
				t.Fatalf("content %s is quarantined: %v and %v", r, isQuarantined(first, now, r), isQuarantined(other, now, r))
			}
		}
		if added := other.Merge(now, first.Snapshot(now)); !added.Empty() {
			t.Fatalf("the tables still differ by %v", added)
		}
	})
}

// TestTableSizeIsBounded: the newest crashes are kept.
func TestTableSizeIsBounded(t *testing.T) {
	table := NewTable()
	requests := make([]Fingerprint, 2*MaxContentsPerCrash)
	for n := range 3 * maxCrashes {
		for i := range requests {
			requests[i] = Fingerprint(n*len(requests) + i)
		}
		table.RecordCrash(int64(n+1)*int64(time.Millisecond), uint64(n+1), requests)
		_ = table.TakePending()
	}
	all := table.Snapshot(second)
	test.Len(t, maxCrashes, all.Crashes)
	test.MapLen(t, maxCrashes*MaxContentsPerCrash, table.suspects)
	for _, c := range all.Crashes {
		test.Greater(t, 2*maxCrashes, int(c.ID), test.Sprint(fmt.Sprint("crash ", c.ID)))
	}
}

func BenchmarkQuarantined(b *testing.B) {
	table := NewTable()
	for n := range uint64(100) {
		table.RecordCrash(second, n+1, []Fingerprint{Fingerprint(n), Fingerprint(n + 1000), Fingerprint(n + 2000)})
	}
	for b.Loop() {
		table.Quarantined(second, 7)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	content := Content{Method: "GET", Host: "h.example", Target: "/leny950/2f?page=3", Body: make([]byte, 4096)}
	for b.Loop() {
		content.Fingerprint()
	}
}
