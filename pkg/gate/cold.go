package gate

import "time"

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

// Cold is what is known of a backend server that is cold: one that has just
// started, or has come back, works slowly and fails under more starts than it
// bears. Source: docs/design/cold-backend-servers.md.
type Cold struct {
	// Most is how many jobs may start in any second; 0: the backend server bears any
	// number.
	Most int
	// Since is when it may have become cold: of one that is warm, when it said so
	// last, since it may become cold at any time.
	Since int64
	// Till is until when it is cold; in the past of one that is warm.
	Till int64
}

// coldStarts counts the starts of the last second.
type coldStarts struct {
	Cold
	// at holds the times of the newest starts, Most of them, as a ring; next is the
	// place of the oldest one.
	at   []int64
	next int
	// last is the last cold time.
	last Cold
}

// predecessor is the process of the daemon before this one, which may have started
// jobs, too.
type predecessor struct {
	was bool
	// gone is how long before this process it had ended at least, in nanoseconds.
	gone int64
}

// set takes over what is known now.
func (c *coldStarts) set(now int64, cold Cold, before predecessor) {
	if now < cold.Till {
		if c.last.Till > cold.Since-coldWindow {
			// Another word on the same cold time, or on the next one within the span
			// in which starts count.
			cold.Since = min(cold.Since, c.last.Since)
		}
		c.last = cold
	}
	if cold.Most != len(c.at) {
		c.resize(cold.Most)
		if before.was && cold.Since < -before.gone {
			c.assumeFull(-before.gone)
		}
	}
	c.Cold = cold
}

// resize keeps the newest starts.
func (c *coldStarts) resize(most int) {
	kept := make([]int64, most)
	for i := range kept {
		kept[i] = -coldWindow
	}
	for back := 1; back <= min(most, len(c.at)); back++ {
		kept[most-back] = c.at[(c.next-back+len(c.at))%len(c.at)]
	}
	c.at, c.next = kept, 0
}

// assumeFull counts as many starts at a time as a second may have.
func (c *coldStarts) assumeFull(at int64) {
	for range c.at {
		c.note(at)
	}
}

// note counts a start.
func (c *coldStarts) note(now int64) {
	if len(c.at) == 0 {
		return
	}
	c.at[c.next] = now
	c.next = (c.next + 1) % len(c.at)
}

// wait is how long a job waits for its start with some others ahead of it; 0: it
// may start now.
func (c *coldStarts) wait(now int64, ahead int) time.Duration {
	if len(c.at) == 0 {
		return 0
	}
	oldest := c.at[(c.next+ahead)%len(c.at)]
	rounds := int64(ahead / len(c.at))
	if oldest < c.Since {
		// What started while it was warm does not count.
		oldest = -coldWindow
	}
	wait := time.Duration(max(oldest+coldWindow*(1+rounds)-now, 0))
	if c.isCold(now) {
		return wait
	}
	return min(wait, wordWithin)
}

// isCold is true while the backend server is known to be cold.
func (c *coldStarts) isCold(now int64) bool { return now < c.Till }

// asks is true where so many jobs have started since the word that the backend
// server is warm that the next one should be asked for.
func (c *coldStarts) asks(now int64) bool {
	if len(c.at) == 0 || c.isCold(now) {
		return false
	}
	newest := int(coldWordUsed * float64(len(c.at)))
	return c.at[(c.next-newest-1+2*len(c.at))%len(c.at)] >= max(c.Since, now-coldWindow)
}

// SetCold takes over whether the backend server is cold. It returns the jobs that
// the owner must start now.
func (g *Gate) SetCold(now int64, cold Cold) []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.set(now, cold, predecessor{was: g.opts.Restarted, gone: int64(g.opts.RestartAfter)})
	return g.startWaiting(now)
}

// usualSlowdown is the slowdown of a backend server outside of slow spells: 1, or
// what it is used to while it is cold, when waiting for it to end gains nothing and
// others of its service are mostly cold, too.
func (g *Gate) usualSlowdown(now int64) float64 {
	if !g.cold.isCold(now) {
		return 1
	}
	return g.speed.Steady()
}

// tooSlowForSoft is true while the backend server works so much slower than usual
// that soft jobs are refused.
func (g *Gate) tooSlowForSoft(now int64) bool {
	return g.speed.Slowdown() > g.opts.SoftSlowdown*g.usualSlowdown(now)
}

// mayStart is true while the backend server bears another start.
func (g *Gate) mayStart(now int64) bool { return g.cold.wait(now, 0) == 0 }

// AsksWhetherCold is true where the owner should ask the backend server whether it
// is still warm, before the starts are used up that its last word allows.
func (g *Gate) AsksWhetherCold(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold.asks(now)
}
