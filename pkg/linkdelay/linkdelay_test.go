package linkdelay

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test"
)

const ms = int64(time.Millisecond)

// recordRounds records calls on links 0 to count-1, one every interval in turn, from start to
// end, each with the delay that delayOf returns.
func recordRounds(d *Delays[int], count int, start, end, interval int64, delayOf func(link int) time.Duration) {
	for i, now := 0, start; now < end; i, now = i+1, now+interval {
		d.Record(now, i%count, delayOf(i%count))
	}
}

func delayed(int) time.Duration { return 300 * time.Millisecond }
func prompt(int) time.Duration  { return 0 }

// TestTheLinkOfOneSenderDoesNotCount however many calls it sends, and however many others
// there are.
func TestTheLinkOfOneSenderDoesNotCount(t *testing.T) {
	for _, senders := range []int{2, 3, 60} {
		d := NewDelays[int]()
		recordRounds(d, senders, ms, 2000*ms, ms, func(link int) time.Duration {
			if link == 0 {
				return time.Second
			}
			return 0
		})
		recordRounds(d, 1, 2000*ms, 2100*ms, ms, func(int) time.Duration { return time.Second })
		test.Zero(t, d.Current(2100*ms, 1), test.Sprintf("%d senders", senders))
	}
}

// TestTheOwnLinkCountsSoon: with 60 senders and 40 calls a second, most senders have sent
// nothing since the queue began.
func TestTheOwnLinkCountsSoon(t *testing.T) {
	d := NewDelays[int]()
	recordRounds(d, 60, ms, 3000*ms, 25*ms, prompt)
	test.Zero(t, d.Current(3000*ms, 1))
	recordRounds(d, 60, 3000*ms, 3400*ms, 25*ms, delayed)
	test.Between(t, 250*time.Millisecond, d.Current(3400*ms, 1), 300*time.Millisecond)
}

func TestADelayDecays(t *testing.T) {
	d := NewDelays[int]()
	recordRounds(d, 4, ms, 100*ms, ms, delayed)
	now := 99 * ms
	before := d.Current(now, 1)
	test.Between(t, 290*time.Millisecond, before, 300*time.Millisecond)
	after := d.Current(now+int64(HalfLife), 1)
	test.Between(t, before*49/100, after, before*51/100)
	test.Zero(t, d.Current(now+int64(activeFor), 1), test.Sprint("no call for a second"))
	// Prompt calls keep the links active: the delay still decays.
	recordRounds(d, 4, 100*ms, 2000*ms, ms, prompt)
	test.Zero(t, d.Current(2000*ms, 1))
}

func TestAHigherDelayReplacesADecayedOne(t *testing.T) {
	d := NewDelays[int]()
	d.Record(ms, 1, 100*time.Millisecond)
	d.Record(ms+int64(HalfLife), 1, 40*time.Millisecond)
	test.Eq(t, 50*time.Millisecond, d.Current(ms+int64(HalfLife), 1))
	d.Record(ms+int64(HalfLife), 1, 60*time.Millisecond)
	test.Eq(t, 60*time.Millisecond, d.Current(ms+int64(HalfLife), 1))
}

func TestShortDelaysDoNotCount(t *testing.T) {
	d := NewDelays[int]()
	recordRounds(d, 4, ms, 100*ms, ms, func(int) time.Duration { return Least - 1 })
	test.Zero(t, d.Current(100*ms, 1))
	recordRounds(d, 4, 100*ms, 110*ms, ms, func(int) time.Duration { return Least })
	test.Eq(t, Least, d.Current(109*ms, 1))
	test.Eq(t, Least, newDelaysOf(Least).Current(ms, 1))
}

// newDelaysOf returns the delays of one link with one call at 1 ms.
func newDelaysOf(delay time.Duration) *Delays[int] {
	d := NewDelays[int]()
	d.Record(ms, 1, delay)
	return d
}

// TestASingleLinkCountsIfAllowed: where one link is active, nothing tells whose it is.
func TestASingleLinkCountsIfAllowed(t *testing.T) {
	d := newDelaysOf(time.Second)
	test.Eq(t, time.Second, d.Current(ms, 1))
	test.Zero(t, d.Current(ms, 2))
	d.Remove(1)
	test.Zero(t, d.Current(ms, 1))
}

// TestInactiveLinksAreForgotten, since an owner may not report that a link has ended.
func TestInactiveLinksAreForgotten(t *testing.T) {
	d := NewDelays[int]()
	for i := range 100 {
		d.Record(int64(i)*int64(activeFor), i, 0)
	}
	test.Eq(t, 1, len(d.links))
}

// TestCurrentDoesNotAllocate, since executors call it for each stamp, also while only one of
// many senders has a slow link.
func TestCurrentDoesNotAllocate(t *testing.T) {
	for _, slowLinks := range []int{1, 300} {
		d := NewDelays[int]()
		recordRounds(d, 300, ms, 301*ms, ms, func(link int) time.Duration {
			if link < slowLinks {
				return time.Duration(link+1) * Least
			}
			return 0
		})
		d.Current(301*ms, 1)
		test.Zero(t, testing.AllocsPerRun(100, func() { d.Current(301*ms, 1) }), test.Sprintf("%d slow links", slowLinks))
	}
}

// TestTheMedianCountsPromptLinks by their weight.
func TestTheMedianCountsPromptLinks(t *testing.T) {
	for _, s := range []struct {
		prompt, slow int
		want         time.Duration
	}{{2, 1, 0}, {2, 3, 0}, {2, 4, Least}, {2, 6, 2 * Least}, {0, 2, Least}, {0, 6, 3 * Least}} {
		d := NewDelays[int]()
		for i := range s.prompt {
			d.Record(ms, -1-i, 0)
		}
		for i := range s.slow {
			d.Record(ms, i, time.Duration(i+1)*Least)
		}
		test.Eq(t, s.want, d.Current(ms, 1), test.Sprintf("%d prompt links, %d slow ones", s.prompt, s.slow))
	}
}

func BenchmarkCurrent(b *testing.B) {
	for _, slowLinks := range []int{1, 300} {
		b.Run(strconv.Itoa(slowLinks)+"of300", func(b *testing.B) {
			d := NewDelays[int]()
			recordRounds(d, 300, ms, 301*ms, ms, func(link int) time.Duration {
				if link < slowLinks {
					return time.Duration(1+link*7%37) * Least
				}
				return 0
			})
			b.ReportAllocs()
			for b.Loop() {
				d.Current(301*ms, 1)
			}
		})
	}
}
