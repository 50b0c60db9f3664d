package gate

// ColdState is what the gate knows about whether the backend server is cold. A backend
// server is cold for some time after it has started or come back: it works slowly, and
// it fails if more than a certain number of jobs start on it in a second.
// Source: docs/design/cold-backend-servers.md.
type ColdState struct {
	// MaxStartsPerSecond is how many jobs may start in any second while the backend
	// server is cold; 0: any number.
	MaxStartsPerSecond int
	// Since is the earliest time, in nanoseconds, at which a cold backend server may
	// have become cold. For a warm one it is the time of the report that it is warm:
	// it may have become cold at any time after that.
	Since int64
	// Until is when the backend server stops being cold, in nanoseconds. For a warm one
	// it is in the past.
	Until int64
}

// SetColdState stores the newest report on whether the backend server is cold. It
// returns the jobs that the owner must start now.
func (g *Gate) SetColdState(now int64, state ColdState) []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldStarts.update(now, state, previousProcess{existed: g.opts.Restarted, minDowntime: int64(g.opts.RestartAfter)})
	return g.startWaiting(now)
}

// normalSlowdown returns the slowdown of the backend server outside slow periods: 1
// while it is warm. While it is cold it is the baseline slowdown: a job gains nothing by
// waiting for the end of the cold period, and most other backend servers of the service
// are cold, too.
func (g *Gate) normalSlowdown(now int64) float64 {
	if !g.coldStarts.isCold(now) {
		return 1
	}
	return g.speed.BaselineSlowdown()
}

// tooSlowForSoft reports whether the backend server is so much slower than normal that
// soft jobs are refused.
func (g *Gate) tooSlowForSoft(now int64) bool {
	return g.speed.Slowdown() > g.opts.SoftSlowdown*g.normalSlowdown(now)
}

// allowsStart reports whether the limits on cold starts and on the rate of starts allow a
// start now.
func (g *Gate) allowsStart(now int64) bool {
	return g.coldStarts.wait(now, 0) == 0 && g.startRate.wait(now, 0) == 0
}

// startsExhausted reports whether these limits allow no start of a further job now, whatever
// the next report of the backend server on its cold period says.
func (g *Gate) startsExhausted(now int64) bool {
	return g.coldStarts.exhausted(now) || g.startRate.wait(now, g.waiting()) > 0
}

// NeedsColdCheck reports whether the owner should ask the backend server whether it is
// still warm, so that the answer comes before the starts that its last report allows are
// used up.
func (g *Gate) NeedsColdCheck(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coldStarts.needsCheck(now)
}
