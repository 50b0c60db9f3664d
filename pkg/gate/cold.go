package gate

// ColdState is what is known of a backend server that is cold: one that has just
// started, or has come back, works slowly and fails under more starts than it
// bears. Source: docs/design/cold-backend-servers.md.
type ColdState struct {
	// MaxStartsPerSecond is how many jobs may start in any second; 0: the backend server bears any
	// number.
	MaxStartsPerSecond int
	// Since is when it may have become cold: of one that is warm, when it said so
	// last, since it may become cold at any time.
	Since int64
	// Until is until when it is cold; in the past of one that is warm.
	Until int64
}

// SetColdState takes over whether the backend server is cold. It returns the jobs that
// the owner must start now.
func (g *Gate) SetColdState(now int64, cold ColdState) []*Job {
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
	return g.speed.BaselineSlowdown()
}

// tooSlowForSoft is true while the backend server works so much slower than usual
// that soft jobs are refused.
func (g *Gate) tooSlowForSoft(now int64) bool {
	return g.speed.Slowdown() > g.opts.SoftSlowdown*g.usualSlowdown(now)
}

// mayStart is true while the backend server bears another start.
func (g *Gate) mayStart(now int64) bool { return g.cold.wait(now, 0) == 0 }

// bearsNoStart is true while the backend server bears no other start, whatever its
// next word says.
func (g *Gate) bearsNoStart(now int64) bool { return g.cold.full(now) }

// NeedsColdCheck is true where the owner should ask the backend server whether it
// is still warm, before the starts are used up that its last word allows.
func (g *Gate) NeedsColdCheck(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cold.asks(now)
}
