package tables

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/wire"
)

// newRecord returns a record of the VM "vm".
func newRecord(started, incarnation uint64, state wire.MemberState) wire.Member {
	return wire.Member{
		VM: "vm", Started: started, Incarnation: incarnation, State: state,
		DataCentre: "d", Service: "s", LinkAddress: "127.0.0.1:1", Slots: 4,
	}
}

func TestMergeKeepsTheNewestRecord(t *testing.T) {
	scenarios := []struct {
		name       string
		updates    []wire.Member
		wantFound  bool
		wantRecord wire.Member
	}{
		{"an outdated record does not bring back a VM that is leaving", []wire.Member{newRecord(1, 0, wire.MemberLeaving), newRecord(1, 0, wire.MemberLive)}, true, newRecord(1, 0, wire.MemberLeaving)},
		{"an outdated record does not remove a restarted VM", []wire.Member{newRecord(2, 0, wire.MemberLive), newRecord(1, 0, wire.MemberGone)}, true, newRecord(2, 0, wire.MemberLive)},
		{"an outdated record does not bring back a removed VM", []wire.Member{newRecord(1, 0, wire.MemberLive), newRecord(1, 0, wire.MemberGone), newRecord(1, 0, wire.MemberLive)}, false, wire.Member{}},
		{"a VM that was started again after its removal is live", []wire.Member{newRecord(1, 0, wire.MemberGone), newRecord(2, 0, wire.MemberLive)}, true, newRecord(2, 0, wire.MemberLive)},
		{"a daemon process that was restarted on a leaving VM is live", []wire.Member{newRecord(1, 5, wire.MemberLeaving), newRecord(1, 6, wire.MemberLive)}, true, newRecord(1, 6, wire.MemberLive)},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := NewMembers()
			for _, update := range s.updates {
				m.Merge(1, nil, update)
			}
			row, found := m.Find("vm")
			must.Eq(t, s.wantFound, found)
			if found {
				test.Eq(t, s.wantRecord, m.Record[row])
			}
		})
	}
}

// TestMembersConvergeWhateverTheOrderOfUpdates gives two tables the same records in
// different orders.
func TestMembersConvergeWhateverTheOrderOfUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.Member {
			record := newRecord(rapid.Uint64Range(1, 3).Draw(t, "started"), rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
				wire.MemberState(rapid.IntRange(0, 2).Draw(t, "state")))
			record.VM = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
			return record
		}), 1, 30).Draw(t, "updates")
		a, b := NewMembers(), NewMembers()
		for _, update := range updates {
			a.Merge(1, nil, update)
		}
		for _, update := range rapid.Permutation(updates).Draw(t, "other order") {
			b.Merge(1, nil, update)
		}
		must.Eq(t, a.Len(), b.Len())
		must.Eq(t, a.Digest(), b.Digest())
		must.SliceEmpty(t, a.DifferingRows(b.BucketDigests()))
	})
}

// TestDifferingRowsCompleteAnIncompleteTable withholds some of the records from a table
// and then merges the differing rows of a complete one.
func TestDifferingRowsCompleteAnIncompleteTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete, incomplete := NewMembers(), NewMembers()
		for i := range rapid.IntRange(1, 300).Draw(t, "members") {
			record := newRecord(1, 0, wire.MemberLive)
			record.VM = string(rune('a'+i%26)) + string(rune('a'+i/26))
			complete.Merge(1, nil, record)
			if rapid.Bool().Draw(t, "arrives") {
				incomplete.Merge(1, nil, record)
			}
		}
		for _, record := range complete.DifferingRows(incomplete.BucketDigests()) {
			incomplete.Merge(1, nil, record)
		}
		must.Eq(t, complete.Digest(), incomplete.Digest())
	})
}

func TestLoadIgnoresOlderStamps(t *testing.T) {
	load := NewLoad(12)
	load.ApplyStamp(10, wire.Stamp{Seq: 5, Running: 7, Limit: 12})
	load.ApplyStamp(20, wire.Stamp{Seq: 4, Running: 1, Limit: 12})
	snapshot := load.Snapshot(30)
	test.Eq(t, 7, snapshot.InFlight)
	test.Eq(t, 10, snapshot.StampReceivedAt)
	load.RecordSent(40)
	load.RecordSent(50)
	snapshot = load.Snapshot(60)
	test.Eq(t, 2, snapshot.SentSinceStamp)
	test.Eq(t, 20, snapshot.NoAnswerFor)
	load.Reset(12)
	load.ApplyStamp(70, wire.Stamp{Seq: 1, Running: 2, Limit: 12})
	test.Eq(t, 2, load.Snapshot(80).InFlight)
}

// TestLoadHoldsTheLinkOfTheNewestStamp, and counts the bytes offered since only.
func TestLoadHoldsTheLinkOfTheNewestStamp(t *testing.T) {
	load := NewLoad(12)
	load.RecordOffered(1000)
	load.ApplyStamp(10, wire.Stamp{Seq: 5, Limit: 12, LinkDelayMS: 30, BodyWaitMS: 40, LinkRateKB: 50})
	load.ApplyStamp(20, wire.Stamp{Seq: 4, Limit: 12, LinkDelayMS: 1, BodyWaitMS: 1, LinkRateKB: 1})
	load.RecordOffered(300)
	load.RecordOffered(400)
	snapshot := load.Snapshot(30)
	test.Eq(t, 30*time.Millisecond, snapshot.LinkDelay)
	test.Eq(t, 40*time.Millisecond, snapshot.BodyWait)
	test.Eq(t, 50_000, snapshot.LinkRate)
	test.Eq(t, 700, snapshot.BodyBytesSinceStamp)
	load.Reset(12)
	test.Eq(t, NewLoad(12).Snapshot(30), load.Snapshot(30), test.Sprint("another process may run on another VM"))
}

// TestLoadRemembersTheRateLimitAcrossRestarts: a restarted daemon learns the limit from the
// entries, until its backend server has answered without one.
func TestLoadRemembersTheRateLimitAcrossRestarts(t *testing.T) {
	load := NewLoad(12)
	limited := wire.Stamp{Seq: 5, Limit: 12}
	limited.SetStartRate(5.8, -0.16)
	load.ApplyStamp(10, limited)
	snapshot := load.Snapshot(10)
	test.Eq(t, 200*time.Millisecond, snapshot.StartWait(10).Round(time.Millisecond))
	load.Reset(12)
	snapshot = load.Snapshot(10)
	test.Zero(t, snapshot.StartWait(10))
	load.ApplyStamp(20, wire.Stamp{Seq: 1, Limit: 12})
	test.Eq(t, 5800, load.RateLimitMilli())
	load.ForgetRateLimit()
	test.Zero(t, load.RateLimitMilli())
}

// TestStartWaitOfAnyStampFitsADuration guards against a wait that overflows: it was below 0 on some
// processors and endless on others.
func TestStartWaitOfAnyStampFitsADuration(t *testing.T) {
	l := NewLoad(4)
	l.ApplyStamp(10, wire.Stamp{Seq: 1, Limit: math.MaxUint32, ServiceUS: math.MaxUint32, StartRateMilli: 1, StartTokensMilli: math.MinInt32})
	snapshot := l.Snapshot(10)
	test.Eq(t, maxStartWait, snapshot.StartWait(10))
}
