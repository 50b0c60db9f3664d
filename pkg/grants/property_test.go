package grants

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// model plays random transfers, arrivals, removals and pauses, and checks the scheduler
// after each step.
type model struct {
	*Scheduler
	now       int64
	transfers map[ID]*modelTransfer
	order     []ID
}

type modelTransfer struct {
	sender                 Sender
	size, granted, arrived int64
}

func (m *model) tick(t *rapid.T) {
	grants, _ := m.Tick(m.now)
	for _, g := range grants {
		tr := m.transfers[g.ID]
		must.NotNil(t, tr, must.Sprint("a grant for a transfer that has ended"))
		must.Greater(t, tr.granted, g.Offset)
		must.LessEq(t, tr.size, g.Offset)
		tr.granted = g.Offset
	}
	m.checkCredit(t)
	if due, ok := m.NextDue(); ok {
		must.Greater(t, m.now, due, must.Sprint("Tick would be called without end"))
	}
}

// checkCredit checks that the outstanding bytes are those of the live transfers, without
// those whose credit has returned.
func (m *model) checkCredit(t *rapid.T) {
	var outstanding, waiting int64
	bySender := map[*sender]int64{}
	for _, tr := range m.Scheduler.transfers {
		var left int64
		for _, p := range tr.pieces {
			left += p.missing
			if !p.returned {
				outstanding += p.missing
			}
		}
		must.Eq(t, tr.granted-tr.arrived, left)
		bySender[tr.sender] += left
		waiting += tr.Size - tr.granted
	}
	must.Eq(t, Load{Outstanding: outstanding, Waiting: waiting, Rate: m.shared.rate()}, m.Load())
	for _, from := range m.senders {
		must.Eq(t, bySender[from], from.outstanding)
	}
}

func (m *model) pick(t *rapid.T) (ID, *modelTransfer) {
	if len(m.order) == 0 {
		t.Skip("no transfer")
	}
	id := rapid.SampledFrom(m.order).Draw(t, "id")
	return id, m.transfers[id]
}

func (m *model) end(id ID) {
	delete(m.transfers, id)
	m.order = slices.DeleteFunc(m.order, func(other ID) bool { return other == id })
}

// TestCreditAlwaysReturns checks for random transfers that no byte is granted twice or beyond
// the size of its body, that the credit of ended and stalled transfers returns, and that
// transfers whose senders send all that they are granted arrive as a whole.
func TestCreditAlwaysReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{Scheduler: NewScheduler(), now: 1, transfers: map[ID]*modelTransfer{}}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				tr := &modelTransfer{sender: Sender(rapid.IntRange(0, 4).Draw(t, "sender")), size: rapid.Int64Range(1, 400_000).Draw(t, "size")}
				id := m.Add(Transfer{Sender: tr.sender, Size: tr.size, Rank: uint16(rapid.IntRange(0, 2).Draw(t, "rank")), StartBy: rapid.Int64Range(0, 10*second).Draw(t, "start by")})
				m.transfers[id], m.order = tr, append(m.order, id)
				m.tick(t)
			},
			"arrive": func(t *rapid.T) {
				id, tr := m.pick(t)
				if tr.granted == tr.arrived {
					t.Skip("nothing is on the way")
				}
				n := rapid.Int64Range(1, tr.granted-tr.arrived).Draw(t, "bytes")
				tr.arrived += n
				whole, err := m.Arrived(m.now, id, n)
				must.NoError(t, err)
				must.Eq(t, tr.arrived == tr.size, whole)
				if whole {
					m.end(id)
				}
				m.tick(t)
			},
			"remove": func(t *rapid.T) {
				id, tr := m.pick(t)
				granted, arrived := m.Remove(id)
				must.Eq(t, tr.granted, granted)
				must.Eq(t, tr.arrived, arrived)
				m.end(id)
				m.tick(t)
			},
			"remove sender": func(t *rapid.T) {
				from := Sender(rapid.IntRange(0, 4).Draw(t, "sender"))
				m.RemoveSender(from)
				for _, id := range slices.Clone(m.order) {
					if m.transfers[id].sender == from {
						m.end(id)
					}
				}
				m.tick(t)
			},
			"wait": func(t *rapid.T) {
				m.now += int64(rapid.IntRange(1, 2000).Draw(t, "ms")) * int64(time.Millisecond)
				m.tick(t)
			},
			"unknown": func(t *rapid.T) {
				whole, err := m.Arrived(m.now, 1<<40, 1)
				must.NoError(t, err)
				must.False(t, whole)
			},
			"": func(t *rapid.T) { m.checkCredit(t) },
		})
		m.finish(t)
	})
}

// finish lets all senders send what they are granted until nothing is left.
func (m *model) finish(t *rapid.T) {
	for rounds := 0; len(m.transfers) > 0; rounds++ {
		must.Less(t, 100_000, rounds, must.Sprint("a transfer does not end"))
		for _, id := range slices.Clone(m.order) {
			tr := m.transfers[id]
			if tr.granted == tr.arrived {
				continue
			}
			whole, err := m.Arrived(m.now, id, tr.granted-tr.arrived)
			must.NoError(t, err)
			tr.arrived = tr.granted
			if whole {
				m.end(id)
			}
		}
		m.now += int64(5 * time.Millisecond)
		m.tick(t)
	}
	must.Eq(t, Load{Rate: m.shared.rate()}, m.Load())
}
