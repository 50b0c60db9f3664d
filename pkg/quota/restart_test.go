package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/teams"
)

const (
	// fleetLoad is the load of the team as a fraction of its limit.
	fleetLoad = 0.6
	// refusedWithin is how long after its first link a restarted daemon may still refuse a
	// request of a team within its limit.
	refusedWithin = 200 * time.Millisecond
)

// newFleet returns a world like a deployment: links open over a time, a restarted daemon
// reads the list of VMs, and requests wait for tokens for at most maxTokenWait.
func newFleet(n int, rate float64, seed uint64) *world {
	w := newWorld(n, teams.Limit{Rate: rate, Burst: rate}, seed)
	w.hubsOnly, w.listDelay, w.linkSpread, w.maxWait = true, 200*time.Millisecond, 100*time.Millisecond, maxTokenWait
	w.run(fleetLoad*rate, 3*time.Second, nil)
	return w
}

// restart kills a daemon, which starts again as the platform restarts it: after about half
// a second, within a spread of a tenth of a second.
func (w *world) restart(i int) {
	w.kill(i, 450*time.Millisecond+time.Duration(w.random.Int64N(int64(100*time.Millisecond))))
}

// lateRefusals returns the refusals after a time that were later than refusedWithin after
// the first link of their daemon.
func (w *world) lateRefusals(after int64) (out []refusal) {
	for _, r := range w.refusals {
		if r.at > after && r.sinceLinked > refusedWithin {
			out = append(out, r)
		}
	}
	return out
}

// restartCase is a restart of some daemons of a fleet.
type restartCase struct {
	name    string
	restart func(w *world)
}

func restartCases() []restartCase {
	return []restartCase{
		{"all", func(w *world) { w.restartFraction(100, true) }},
		{"60 in 100 without the counter", func(w *world) { w.restartFraction(60, false) }},
		{"60 in 100 with the counter", func(w *world) { w.restartFraction(60, true) }},
		{"counter", func(w *world) { w.restart(w.counterOf(w.team)) }},
	}
}

// restartFraction restarts so many daemons in 100 and, or but not, the team's counter.
func (w *world) restartFraction(percent int, counter bool) {
	counterOf := w.counterOf(w.team)
	for i := range w.daemons {
		if i == counterOf && counter || i != counterOf && i*37%100 < percent {
			w.restart(i)
		}
	}
}

// TestTeamWithinItsLimitIsNotRefusedAfterARestart: a counter that has lost its shares, or
// a bucket that starts empty, must not be taken for a used limit.
func TestTeamWithinItsLimitIsNotRefusedAfterARestart(t *testing.T) {
	for _, n := range []int{12, 62, 300} {
		for _, c := range restartCases() {
			for _, rate := range teamRates {
				t.Run(fmt.Sprint(n, "/", c.name, "/", rate), func(t *testing.T) {
					t.Parallel()
					w := newFleet(n, rate, 1)
					restartedAt := w.now
					requested, granted, unsure := w.requested, w.granted, w.unsure
					c.restart(w)
					w.run(fleetLoad*rate, 8*time.Second, nil)
					late := w.lateRefusals(restartedAt)
					test.SliceEmpty(t, late)
					for _, r := range late {
						t.Logf("late: %v after the restart, %v after the first link", time.Duration(r.at-restartedAt), r.sinceLinked)
					}
					t.Logf("%v, %d requests, %d granted, %d refused (%d late), %d unsure, the last after %v", t.Name()[len("TestTeamWithinItsLimitIsNotRefusedAfterARestart"):], w.requested-requested, w.granted-granted,
						len(w.refusals), len(late), w.unsure-unsure, time.Duration(max(w.lastUnsureAt-restartedAt, 0)))
				})
			}
		}
	}
}
