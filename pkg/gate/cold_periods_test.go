package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// wordSlack is by how much the words' times are taken for earlier than they are, as
// the gate's owner does.
const wordSlack = 50 * ms

// coldRow is a backend server that is cold several times in a row.
type coldRow struct {
	begins []int64
	lasts  int64
}

// till is until when it is cold at a time; 0: it is warm.
func (c coldRow) till(now int64) int64 {
	for _, begin := range c.begins {
		if now >= begin && now < begin+c.lasts {
			return begin + c.lasts
		}
	}
	return 0
}

// word is what the gate is told of an answer that the backend server gave to a
// question asked and answered at these times.
func (c coldRow) word(most int, asked, said, now int64) ColdState {
	till := c.till(said)
	if till == 0 {
		return ColdState{MaxStartsPerSecond: most, Since: asked - wordSlack, Until: now}
	}
	left := till - said
	return ColdState{MaxStartsPerSecond: most, Since: asked + left - c.lasts - wordSlack, Until: now + left}
}

// drawColdRow draws two or three cold times and the moment of a word in each of
// them: heartbeats tell of a cold time that nobody asks for.
func drawColdRow(t *rapid.T, begin int64) (row coldRow, told []int64) {
	row.lasts = rapid.Int64Range(100, 3000).Draw(t, "lasts") * ms
	for range rapid.IntRange(2, 3).Draw(t, "cold times") {
		begin += rapid.Int64Range(1, 1200).Draw(t, "gap") * ms
		row.begins = append(row.begins, begin)
		told = append(told, begin+rapid.Int64Range(0, row.lasts/ms-1).Draw(t, "told")*ms)
		begin += row.lasts
	}
	return row, told
}

// TestColdTimesInARow: in no second does the backend server get more starts while it
// is cold than it bears, whatever words come between its cold times and however old
// they are.
func TestColdTimesInARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 5
		now := int64(10_000 * ms)
		row, told := drawColdRow(t, now)
		g := New(Options{Slots: 1000, QueueLength: 1000, QueueTime: time.Minute, Order: Ranked})
		g.SetColdState(now, ColdState{MaxStartsPerSecond: most, Since: now - wordSlack})
		var cold []int64
		note := func(started int) {
			for ; started > 0 && row.till(now) > 0; started-- {
				cold = append(cold, now)
			}
		}
		tell := func(asked int64) {
			said := rapid.Int64Range(asked/ms, now/ms).Draw(t, "said") * ms
			note(len(g.SetColdState(now, row.word(most, asked, said, now))))
		}
		end := row.begins[len(row.begins)-1] + row.lasts
		for asked := int64(0); now < end; now += rapid.Int64Range(1, 60).Draw(t, "pause") * ms {
			for len(told) > 0 && now >= told[0] {
				// A word on this cold time came when it was due.
				late := now
				now, told = told[0], told[1:]
				tell(now)
				now = late
			}
			if asked > 0 || rapid.IntRange(0, 9).Draw(t, "unasked") == 0 {
				tell(max(asked, now-20*ms))
				asked = 0
			}
			for range rapid.IntRange(0, most+2).Draw(t, "jobs") {
				if run, _ := g.Admit(now, coldJob(now)); run {
					note(1)
				}
			}
			start, _ := g.Tick(now)
			note(len(start))
			if g.NeedsColdCheck(now) || g.AwaitsReport(now) {
				asked = now
			}
		}
		for i := most; i < len(cold); i++ {
			must.Greater(t, int64(time.Second), cold[i]-cold[i-most], must.Sprint(cold))
		}
	})
}

// TestAfterAColdTimeWordsAllowMoreThanItsRate: only the starts of the cold time itself
// go on counting. With each word that it is warm, all that have left the window since
// may start again, so that it is not held to its cold rate for a second longer.
func TestAfterAColdTimeWordsAllowMoreThanItsRate(t *testing.T) {
	const most = 10
	now := int64(10_000 * ms)
	g := coldGate(now, most)
	started := 0
	admit := func() {
		if run, _ := g.Admit(now, coldJob(now)); run {
			started++
		}
	}
	end := now + 3000*ms
	for ; now < end; now += 20 * ms {
		admit()
		start, _ := g.Tick(now)
		started += len(start)
	}
	test.LessEq(t, 3*most, started, test.Sprint("in three seconds"))
	g.DrainQueue()
	started = 0
	for ; now < end+1000*ms; now += 20 * ms {
		started += len(g.SetColdState(now, ColdState{MaxStartsPerSecond: most, Since: now - wordSlack, Until: now}))
		for range 3 {
			admit()
		}
	}
	test.Greater(t, 4*most, started, test.Sprint("in the second after the cold time"))
}
