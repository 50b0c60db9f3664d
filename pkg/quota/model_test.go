package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/teams"
)

// The platform's settings, as in the users' deployments. A team may exceed its limit by the
// fraction overshoot and by slack requests.
const (
	windowSeconds = 5
	overshoot     = 0.1
	slack         = 20
	restartAfter  = 300 * time.Millisecond
	stepDuration  = 10 * time.Millisecond
)

// maxRequests returns the number of requests of a team that may run in any window.
func maxRequests(l teams.Limit) float64 {
	return (l.Rate*windowSeconds+l.Burst)*(1+overshoot) + slack
}

// counterOf returns the daemon to which the largest share of the team's group is leased.
func (w *world) counterOf(team string) (counter int) {
	largest := 0.0
	for i, d := range w.daemons {
		if d.restartAt > 0 {
			continue
		}
		if leased := d.node.LeasedShare(d.now(w.now), GroupOf(team)); leased > largest {
			counter, largest = i, leased
		}
	}
	return counter
}

// maxInWindow returns the largest number of requests granted within one window.
func (w *world) maxInWindow() (count int) {
	from := 0
	for to, at := range w.grantedAt {
		for at-w.grantedAt[from] >= windowSeconds*int64(time.Second) {
			from++
		}
		count = max(count, to-from+1)
	}
	return count
}

// maxLeasedShare returns the sum of the shares now leased to all counters of one group,
// for the group where it is largest.
func (w *world) maxLeasedShare() (largest float64) {
	for g := range Groups {
		sum := 0.0
		for _, d := range w.daemons {
			if d.restartAt > 0 {
				continue
			}
			for _, leased := range d.node.pools[g].shares {
				if leased.until > d.now(w.now) {
					sum += leased.size
				}
			}
		}
		largest = max(largest, sum)
	}
	return largest
}

// TestNoTeamExceedsItsLimitInAnyWindow: a team that sends many times its limit stays within
// it while daemons are killed, cut off, delayed or frozen.
func TestNoTeamExceedsItsLimitInAnyWindow(t *testing.T) {
	const wholeLimit = 1 + 1e-9
	rapid.Check(t, func(t *rapid.T) {
		limit := teams.Limit{Rate: rapid.Float64Range(0.5, 200).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0, 2).Draw(t, "burst")
		n := rapid.IntRange(2, 12).Draw(t, "daemons")
		w := newWorld(n, limit, rapid.Uint64().Draw(t, "seed"))
		w.returns = &returnModel{}
		w.maxExtraDelay = time.Duration(rapid.IntRange(0, 3000).Draw(t, "slow")) * time.Millisecond
		w.listDelay = time.Duration(rapid.IntRange(0, 800).Draw(t, "list")) * time.Millisecond
		w.hubsOnly = rapid.Bool().Draw(t, "hubs only")
		w.daemons[0].previousRelease = rapid.Bool().Draw(t, "previous release")
		w.run(10*limit.Rate+20, 12*time.Second, func(step int) {
			if leased := w.maxLeasedShare(); leased > wholeLimit {
				t.Fatalf("%.3f of a limit is leased at %v", leased, time.Duration(w.now))
			}
			if step%20 != 0 {
				return
			}
			down := func() time.Duration {
				return time.Duration(rapid.IntRange(0, 1200).Draw(t, "down")) * time.Millisecond
			}
			switch rapid.IntRange(0, 9).Draw(t, "trouble") {
			case 0:
				w.kill(rapid.IntRange(0, n-1).Draw(t, "killed"), time.Duration(rapid.IntRange(0, 2000).Draw(t, "down"))*time.Millisecond)
			case 1:
				for i := range n {
					w.partition[i] = rapid.IntRange(0, 3).Draw(t, "side")
				}
			case 2:
				for i := range n {
					w.partition[i] = 0
				}
			case 3:
				w.daemons[rapid.IntRange(0, n-1).Draw(t, "frozen")].frozenUntil = w.now + int64(rapid.IntRange(0, 3000).Draw(t, "for"))*int64(time.Millisecond)
			case 4:
				if rapid.IntRange(0, 9).Draw(t, "all") == 0 {
					for i := range n {
						w.kill(i, 500*time.Millisecond)
					}
				}
			case 5:
				for i := range n {
					w.kill(i, down())
				}
			case 6:
				for i := range n {
					if rapid.IntRange(1, 100).Draw(t, "of 100") <= 60 {
						w.kill(i, down())
					}
				}
			case 7:
				w.kill(w.counterOf(w.team), down())
			}
		})
		if count := w.maxInWindow(); float64(count) > maxRequests(limit) {
			t.Fatalf("%d requests in a window, %.1f are allowed", count, maxRequests(limit))
		}
	})
}

// grantedFraction returns the fraction of requests granted to a team whose load is the
// given fraction of its limit.
func grantedFraction(seed uint64, limit teams.Limit, load float64, beforeStep func(w *world, step int)) float64 {
	w := newWorld(12, limit, seed)
	w.run(0, 3*time.Second, nil)
	w.run(load*limit.Rate, 20*time.Second, func(step int) {
		if beforeStep != nil {
			beforeStep(w, step)
		}
	})
	w.run(0, time.Second, nil)
	return float64(w.granted) / float64(w.requested)
}

// teamRates are the rates of a small, a medium and a large team in requests per second.
// seedsPerRate is the number of simulations of each.
var (
	teamRates    = []float64{2, 20, 200}
	seedsPerRate = uint64(4)
)

// meanGrantedFraction is the mean of grantedFraction over teamRates and seeds.
func meanGrantedFraction(load float64, beforeStep func(w *world, step int)) (out float64) {
	for _, rate := range teamRates {
		for seed := range seedsPerRate {
			out += grantedFraction(seed, teams.Limit{Rate: rate, Burst: rate}, load, beforeStep)
		}
	}
	return out / float64(len(teamRates)*int(seedsPerRate))
}

// TestTeamWithinItsLimitIsGranted: at least 999 of 1,000 requests without faults.
func TestTeamWithinItsLimitIsGranted(t *testing.T) {
	test.GreaterEq(t, 0.999, meanGrantedFraction(0.9, nil))
}

// TestKilledCounter: at least 97 of 100 requests are granted.
func TestKilledCounter(t *testing.T) {
	test.GreaterEq(t, 0.97, meanGrantedFraction(0.6, func(w *world, step int) {
		if step != 500 {
			return
		}
		for i, d := range w.daemons {
			if d.node.LeasedShare(d.now(w.now), GroupOf(w.team)) > 0.5 {
				w.kill(i, time.Second)
			}
		}
	}))
}

// TestNetworkSplitInHalves: at least 97 of 100 requests are granted.
func TestNetworkSplitInHalves(t *testing.T) {
	test.GreaterEq(t, 0.97, meanGrantedFraction(0.6, func(w *world, step int) {
		for i := range w.daemons {
			w.partition[i] = 0
			if step > 500 && step < 1000 {
				w.partition[i] = 1 + i%2
			}
		}
	}))
}
