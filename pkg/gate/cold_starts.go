package gate

import (
	"slices"
	"time"
)

const (
	// coldWindow is the span in which starts at a cold backend server are counted,
	// in nanoseconds. Its bound holds for any second; what is more is for starts
	// that reach the backend server closer together than they left the gate.
	coldWindow = int64(1050 * time.Millisecond)
	// wordWithin is how long a job waits at a backend server that is warm as far as is
	// known, for the word that it still is: the owner asks at once, and again after
	// 15 ms where that was not answered.
	wordWithin = 20 * time.Millisecond
	// coldWordUsed is the share of the starts that a word of a warm backend server
	// allows after which the next word should be asked for, so that none waits for it.
	coldWordUsed = 0.5
)

// coldStart is one start of the last window.
type coldStart struct {
	at int64
	// cold is true where the backend server is known to have been cold then. It
	// counts for a whole window, whatever words come after it.
	cold bool
	// assumed is true for one that the process before may have made.
	assumed bool
}

// coldStarts counts the starts that a cold backend server may have got within the
// last window: those that came while it is known to have been cold, and those since
// its last word that it was warm, after which it may have become cold at any time.
// A word that it is warm takes the latter out of the count and never the former, so
// that cold times may follow one another with any words between.
type coldStarts struct {
	ColdState
	// starts are the starts that count or may come to count, the oldest first. The
	// bound keeps them to some two times Most.
	starts []coldStart
}

// predecessor is the process of the daemon before this one, which may have started
// jobs, too.
type predecessor struct {
	was bool
	// gone is how long before this process it had ended at least, in nanoseconds.
	gone int64
}

// set takes over what is known now.
func (c *coldStarts) set(now int64, cold ColdState, before predecessor) {
	c.ColdState = cold
	c.forget(now)
	if before.was && cold.Since < -before.gone {
		c.assumeFull(-before.gone)
	}
	if c.isCold(now) {
		c.markCold()
	} else {
		c.dropWarm()
	}
}

// assumeFull counts as many starts of the process before as a window may have. Words
// may come in any order, so that each of them that reaches back so far does.
func (c *coldStarts) assumeFull(at int64) {
	missing := c.MaxStartsPerSecond
	for _, s := range c.starts {
		if s.assumed {
			missing--
		}
	}
	c.starts = slices.Insert(c.starts, 0, slices.Repeat([]coldStart{{at: at, assumed: true}}, max(missing, 0))...)
}

// markCold notes which starts came in the cold time.
func (c *coldStarts) markCold() {
	for i := range c.starts {
		c.starts[i].cold = c.starts[i].cold || c.starts[i].at >= c.Since
	}
}

// dropWarm takes out what the backend server got while it was warm.
func (c *coldStarts) dropWarm() {
	c.starts = slices.DeleteFunc(c.starts, func(s coldStart) bool { return !s.cold && s.at < c.Since })
}

// forget takes out the starts that are older than the window.
func (c *coldStarts) forget(now int64) {
	old := 0
	for old < len(c.starts) && now-c.starts[old].at >= coldWindow {
		old++
	}
	c.starts = slices.Delete(c.starts, 0, old)
}

// note counts a start.
func (c *coldStarts) note(now int64) {
	if c.MaxStartsPerSecond == 0 {
		return
	}
	c.forget(now)
	c.starts = append(c.starts, coldStart{at: now, cold: c.isCold(now)})
}

// wait is how long a job waits for its start with some others ahead of it; 0: it
// may start now.
func (c *coldStarts) wait(now int64, ahead int) time.Duration {
	wait := c.until(now, ahead, c.counts)
	if c.isCold(now) {
		return wait
	}
	// A word comes in time for the starts that it can take out of the count.
	return max(c.until(now, 0, cameCold), min(wait, wordWithin))
}

// full is true while no word would allow another start.
func (c *coldStarts) full(now int64) bool {
	if c.isCold(now) {
		return c.until(now, 0, c.counts) > 0
	}
	return c.until(now, 0, cameCold) > 0
}

// until is how long a job with some others ahead of it waits where certain starts
// count.
func (c *coldStarts) until(now int64, ahead int, counts func(coldStart) bool) time.Duration {
	if c.MaxStartsPerSecond == 0 {
		return 0
	}
	rounds := int64(ahead / c.MaxStartsPerSecond)
	frees := ahead%c.MaxStartsPerSecond + c.count(now, counts) - c.MaxStartsPerSecond
	if frees < 0 {
		return time.Duration(rounds * coldWindow)
	}
	for _, s := range c.starts {
		if now-s.at >= coldWindow || !counts(s) {
			continue
		}
		if frees == 0 {
			return time.Duration(s.at + coldWindow*(1+rounds) - now)
		}
		frees--
	}
	return 0
}

// count counts certain starts within the window.
func (c *coldStarts) count(now int64, counts func(coldStart) bool) int {
	n := 0
	for _, s := range c.starts {
		if now-s.at < coldWindow && counts(s) {
			n++
		}
	}
	return n
}

// counts is true for a start that the backend server may have got while it was cold.
func (c *coldStarts) counts(s coldStart) bool { return s.cold || s.at >= c.Since }

// cameCold is true for a start that it is known to have got while it was cold.
func cameCold(s coldStart) bool { return s.cold }

// isCold is true while the backend server is known to be cold.
func (c *coldStarts) isCold(now int64) bool { return now < c.Until }

// asks is true where so many jobs have started since the word that the backend
// server is warm that the next one should be asked for.
func (c *coldStarts) asks(now int64) bool {
	if c.MaxStartsPerSecond == 0 || c.isCold(now) || c.full(now) {
		return false
	}
	cold := c.count(now, cameCold)
	return c.count(now, c.counts)-cold > int(coldWordUsed*float64(c.MaxStartsPerSecond-cold))
}
