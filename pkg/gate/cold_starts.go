package gate

import (
	"slices"
	"time"
)

const (
	// startWindow is how long a start counts against MaxStartsPerSecond, in nanoseconds.
	// It exceeds a second because starts may reach the backend server closer together
	// than they left the gate.
	startWindow = int64(1050 * time.Millisecond)
	// maxReportWait is how long a job waits, while the backend server is not known to be
	// cold, for the report that it is still warm: the owner asks for the report at once,
	// and again after 15 ms if it gets no answer.
	maxReportWait = 20 * time.Millisecond
	// checkAfterShare is the share of the starts allowed by a report of a warm backend
	// server after which the owner should ask for the next report, so that no job has
	// to wait for it.
	checkAfterShare = 0.5
	// maxStartsCounted is the largest limit of starts per second that is counted: no daemon
	// starts as many, and each takes memory.
	maxStartsCounted = 10_000
)

// recordedStart is the start of one job within the last startWindow.
type recordedStart struct {
	at int64
	// whileCold is true when the backend server is known to have been cold at the start.
	// Such a start counts for a whole startWindow, whatever is reported later.
	whileCold bool
	// assumed is true for a start that the previous process may have made.
	assumed bool
}

// coldStartLimiter limits the starts that the backend server may get while it is cold.
// It counts the starts of the last startWindow at which the backend server is known to
// have been cold, and those since its last report that it was warm, because it may have
// become cold at any time after that. A report that it is warm removes only the latter
// from the count, so that the limit also holds across cold periods that follow one another
// closely.
type coldStartLimiter struct {
	ColdState
	// starts are the starts that count, or may come to count after the next report, the
	// oldest first. The limit keeps them to about twice MaxStartsPerSecond.
	starts []recordedStart
}

// previousProcess is the process of the daemon before this one, which may have started
// jobs, too. Times below 0 are before the start of this process.
type previousProcess struct {
	existed bool
	// minDowntime is the least time between its end and the start of this process, in
	// nanoseconds.
	minDowntime int64
}

// update stores the newest report and changes which starts count.
func (c *coldStartLimiter) update(now int64, state ColdState, previous previousProcess) {
	c.ColdState = state
	if c.MaxStartsPerSecond > maxStartsCounted {
		c.MaxStartsPerSecond = 0
	}
	c.dropOld(now)
	if previous.existed && state.Since < -previous.minDowntime {
		c.assumeFullWindow(-previous.minDowntime)
	}
	if c.isCold(now) {
		c.markColdStarts()
	} else {
		c.dropWarmStarts()
	}
}

// assumeFullWindow adds as many starts of the previous process as the limit allowed, at
// the given time. It may be called for several reports, and does not add again the starts
// that an earlier call has added.
func (c *coldStartLimiter) assumeFullWindow(at int64) {
	missing := c.MaxStartsPerSecond
	for _, s := range c.starts {
		if s.assumed {
			missing--
		}
	}
	c.starts = slices.Insert(c.starts, 0, slices.Repeat([]recordedStart{{at: at, assumed: true}}, max(missing, 0))...)
}

// markColdStarts marks the starts since the backend server may have become cold.
func (c *coldStartLimiter) markColdStarts() {
	for i := range c.starts {
		c.starts[i].whileCold = c.starts[i].whileCold || c.starts[i].at >= c.Since
	}
}

// dropWarmStarts removes the starts that the backend server got while it was warm.
func (c *coldStartLimiter) dropWarmStarts() {
	c.starts = slices.DeleteFunc(c.starts, func(s recordedStart) bool { return !s.whileCold && s.at < c.Since })
}

// dropOld removes the starts that are older than startWindow.
func (c *coldStartLimiter) dropOld(now int64) {
	old := 0
	for old < len(c.starts) && now-c.starts[old].at >= startWindow {
		old++
	}
	c.starts = slices.Delete(c.starts, 0, old)
}

// record adds a start.
func (c *coldStartLimiter) record(now int64) {
	if c.MaxStartsPerSecond == 0 {
		return
	}
	c.dropOld(now)
	c.starts = append(c.starts, recordedStart{at: now, whileCold: c.isCold(now)})
}

// wait returns how long a job waits for its start when ahead other jobs start before it;
// 0: it may start now.
func (c *coldStartLimiter) wait(now int64, ahead int) time.Duration {
	wait := c.waitCounting(now, ahead, c.maybeCold)
	if c.isCold(now) {
		return wait
	}
	// The next report may leave only the starts in the count at which the backend server is
	// known to have been cold.
	return max(c.waitCounting(now, 0, knownCold), min(wait, maxReportWait))
}

// exhausted reports whether no start is allowed now, whatever the next report says.
func (c *coldStartLimiter) exhausted(now int64) bool {
	if c.isCold(now) {
		return c.waitCounting(now, 0, c.maybeCold) > 0
	}
	return c.waitCounting(now, 0, knownCold) > 0
}

// waitCounting returns how long a job waits for its start when ahead other jobs start
// before it. Only the starts for which counts returns true count against the limit.
func (c *coldStartLimiter) waitCounting(now int64, ahead int, counts func(recordedStart) bool) time.Duration {
	if c.MaxStartsPerSecond == 0 {
		return 0
	}
	fullWindows := int64(ahead / c.MaxStartsPerSecond)
	excess := ahead%c.MaxStartsPerSecond + c.count(now, counts) - c.MaxStartsPerSecond
	if excess < 0 {
		return time.Duration(fullWindows * startWindow)
	}
	// The job may start once the excess starts and one more have left the window.
	for _, s := range c.starts {
		if now-s.at >= startWindow || !counts(s) {
			continue
		}
		if excess == 0 {
			return time.Duration(s.at + startWindow*(1+fullWindows) - now)
		}
		excess--
	}
	return 0
}

// count returns the number of starts in the window for which counts returns true.
func (c *coldStartLimiter) count(now int64, counts func(recordedStart) bool) int {
	n := 0
	for _, s := range c.starts {
		if now-s.at < startWindow && counts(s) {
			n++
		}
	}
	return n
}

// maybeCold reports whether the backend server may have been cold at a start.
func (c *coldStartLimiter) maybeCold(s recordedStart) bool { return s.whileCold || s.at >= c.Since }

// knownCold reports whether the backend server is known to have been cold at a start.
func knownCold(s recordedStart) bool { return s.whileCold }

// isCold reports whether the backend server is known to be cold.
func (c *coldStartLimiter) isCold(now int64) bool { return now < c.Until }

// needsCheck reports whether the owner should ask for the next report: more than
// checkAfterShare of the starts that the last report of a warm backend server allows are
// used up.
func (c *coldStartLimiter) needsCheck(now int64) bool {
	if c.MaxStartsPerSecond == 0 || c.isCold(now) || c.exhausted(now) {
		return false
	}
	cold := c.count(now, knownCold)
	return c.count(now, c.maybeCold)-cold > int(checkAfterShare*float64(c.MaxStartsPerSecond-cold))
}
