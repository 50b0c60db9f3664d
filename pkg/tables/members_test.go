package tables

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/wire"
)

func said(started, incarnation uint64, state wire.MemberState) wire.Member {
	return wire.Member{
		VM: "vm", Started: started, Incarnation: incarnation, State: state,
		DataCentre: "d", Service: "s", Links: "127.0.0.1:1", Slots: 4,
	}
}

func TestMergeKeepsTheNewest(t *testing.T) {
	scenarios := []struct {
		name  string
		news  []wire.Member
		known bool
		last  wire.Member
	}{
		{"old news does not bring a VM that left back", []wire.Member{said(1, 0, wire.MemberLeaving), said(1, 0, wire.MemberLive)}, true, said(1, 0, wire.MemberLeaving)},
		{"old news does not end a newer VM", []wire.Member{said(2, 0, wire.MemberLive), said(1, 0, wire.MemberGone)}, true, said(2, 0, wire.MemberLive)},
		{"old news does not revive one that is gone", []wire.Member{said(1, 0, wire.MemberLive), said(1, 0, wire.MemberGone), said(1, 0, wire.MemberLive)}, false, wire.Member{}},
		{"a VM of the same name that was started later is live", []wire.Member{said(1, 0, wire.MemberGone), said(2, 0, wire.MemberLive)}, true, said(2, 0, wire.MemberLive)},
		{"a process that was restarted on its VM is live", []wire.Member{said(1, 5, wire.MemberLeaving), said(1, 6, wire.MemberLive)}, true, said(1, 6, wire.MemberLive)},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := NewMembers()
			for _, news := range s.news {
				m.Merge(1, nil, news)
			}
			row, known := m.Find("vm")
			must.Eq(t, s.known, known)
			if known {
				test.Eq(t, s.last, m.Record[row])
			}
		})
	}
}

// TestTablesConverge gives two daemons the same news in different orders.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.Member {
			out := said(rapid.Uint64Range(1, 3).Draw(t, "started"), rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
				wire.MemberState(rapid.IntRange(0, 2).Draw(t, "state")))
			out.VM = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
			return out
		}), 1, 30).Draw(t, "news")
		a, b := NewMembers(), NewMembers()
		for _, n := range news {
			a.Merge(1, nil, n)
		}
		for _, n := range rapid.Permutation(news).Draw(t, "other order") {
			b.Merge(1, nil, n)
		}
		must.Eq(t, a.Len(), b.Len())
		must.Eq(t, a.Digest(), b.Digest())
		must.SliceEmpty(t, a.DifferingRows(b.BucketDigests()))
	})
}

// TestDifferingHealsATable loses half of the news, and asks.
func TestDifferingHealsATable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, part := NewMembers(), NewMembers()
		for i := range rapid.IntRange(1, 300).Draw(t, "members") {
			row := said(1, 0, wire.MemberLive)
			row.VM = string(rune('a'+i%26)) + string(rune('a'+i/26))
			full.Merge(1, nil, row)
			if rapid.Bool().Draw(t, "arrives") {
				part.Merge(1, nil, row)
			}
		}
		for _, row := range full.DifferingRows(part.BucketDigests()) {
			part.Merge(1, nil, row)
		}
		must.Eq(t, full.Digest(), part.Digest())
	})
}

func TestALoadTakesNoOlderStamp(t *testing.T) {
	load := NewLoad(12)
	load.ApplyStamp(10, wire.Stamp{Seq: 5, Running: 7, Limit: 12})
	load.ApplyStamp(20, wire.Stamp{Seq: 4, Running: 1, Limit: 12})
	known := load.Snapshot(30)
	test.Eq(t, 7, known.InFlight)
	test.Eq(t, 10, known.StampReceivedAt)
	load.RecordSent(40)
	load.RecordSent(50)
	known = load.Snapshot(60)
	test.Eq(t, 2, known.SentSinceStamp)
	test.Eq(t, 20, known.NoAnswerFor)
	load.Reset(12)
	load.ApplyStamp(70, wire.Stamp{Seq: 1, Running: 2, Limit: 12})
	test.Eq(t, 2, load.Snapshot(80).InFlight)
}
