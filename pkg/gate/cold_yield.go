package gate

import "time"

// yieldFor is how long no less urgent job starts at a cold backend server after a more
// urgent one was refused for want of a start, in nanoseconds: within a window all
// starts that the urgent ones need come free.
const yieldFor = coldWindow

// turnedAway is the most urgent job that a cold backend server's gate refused of late
// since no start was left. Jobs with time to wait, as calls, would else take each start
// that comes free, and urgent ones, which can seldom wait, be refused for good.
type turnedAway struct {
	rank uint8
	// until is until when less urgent jobs leave the starts to such ones.
	until int64
}

// note takes over that a job was refused.
func (t *turnedAway) note(now int64, rank uint8) {
	if now >= t.until || rank <= t.rank {
		t.rank, t.until = rank, now+yieldFor
	}
}

// yields is how long a job of a rank leaves its start to more urgent ones.
func (t *turnedAway) yields(now int64, rank uint8) time.Duration {
	if rank <= t.rank || now >= t.until {
		return 0
	}
	return time.Duration(t.until - now)
}

// yields is how long a job leaves its start to more urgent ones.
func (g *Gate) yields(now int64, job *Job) time.Duration {
	if !g.cold.isCold(now) {
		return 0
	}
	return g.away.yields(now, job.Rank)
}

// noteRefused takes over that a job was refused that asked in earnest.
func (g *Gate) noteRefused(now int64, job *Job) {
	if !job.Soft && g.cold.isCold(now) && g.bearsNoStart(now) {
		g.away.note(now, job.Rank)
	}
}
