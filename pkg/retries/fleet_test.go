package retries

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/utils"
)

const (
	// The bounds of a platform, and the parts of them that daemons use.
	allowedRatio, allowedSlack = 0.2, 58
	usedRatio, usedSlack       = 0.8 * allowedRatio, 46
	testWindow                 = 10 * time.Second
)

// modelDaemon is one daemon of a modelled fleet, with its budget of one service.
type modelDaemon struct {
	vm, dataCentre string
	budget         *Budget
	pool           *Pool
	startedAt      int64
}

// modelFleet is a fleet without a network, in up to five data centres.
type modelFleet struct {
	random  *rand.Rand
	now     int64
	daemons []*modelDaemon
	// known returns the number of daemons that a daemon knows.
	known func(d *modelDaemon) int
	// mayAsk reports whether an ask reaches the daemon that grants it.
	mayAsk func(from, to *modelDaemon) bool
	// requests and retries are the times of the first requests and of the retries.
	requests, retries []int64
	// failed counts the failed requests, retried those of them that got a retry.
	failed, retried int
}

func newModelFleet(size int, seed uint64) *modelFleet {
	f := &modelFleet{random: rand.New(rand.NewPCG(seed, 11)), now: int64(time.Hour)}
	f.known = func(*modelDaemon) int { return size }
	f.mayAsk = func(_, _ *modelDaemon) bool { return true }
	for n := range size {
		d := &modelDaemon{vm: fmt.Sprint("vm-", n), dataCentre: fmt.Sprint("dc-", n%min(5, max(size/10, 1)))}
		f.daemons = append(f.daemons, d)
		f.start(d, false)
	}
	f.share()
	return f
}

// start starts a daemon, or starts it again.
func (f *modelFleet) start(d *modelDaemon, again bool) {
	d.startedAt = f.now
	d.pool = NewPool(testWindow, again, f.random.Float64)
	d.budget = d.pool.NewBudget(usedRatio, usedSlack, func() int { return f.known(d) })
}

// share gives each daemon its place in the groups. A daemon that was started again grants
// nothing for one window.
func (f *modelFleet) share() {
	inDataCentre := map[string][]*modelDaemon{}
	for _, d := range f.daemons {
		inDataCentre[d.dataCentre] = append(inDataCentre[d.dataCentre], d)
	}
	for name, members := range inDataCentre {
		if !IsShared(usedSlack, len(f.daemons)) {
			continue
		}
		groups := NewGroups(Routed, name, usedSlack, len(members), len(f.daemons))
		held, holders := map[*modelDaemon]int{}, make([]*modelDaemon, groups.Count())
		for group := range groups.Count() {
			for _, d := range members {
				if holders[group] == nil || utils.RendezvousWeight(groups.Name(group), d.vm) > utils.RendezvousWeight(groups.Name(group), holders[group].vm) {
					holders[group] = d
				}
			}
			if h := holders[group]; !h.pool.Restarted() || f.now-h.startedAt >= int64(testWindow) {
				held[h] += groups.Slack(group)
			}
		}
		for _, d := range members {
			holder := holders[groups.Of(d.vm)]
			d.pool.SetShare(Routed, Share{Self: holder == d, Held: held[d], Ask: func(ask *Ask) {
				if f.mayAsk(d, holder) {
					grant := holder.pool.HandleAsk(f.now, ask)
					d.pool.HandleGrant(&grant)
					return
				}
				d.pool.HandleGrant(&Grant{ID: ask.ID})
			}})
		}
	}
}

// send sends a request at a daemon, which fails or not.
func (f *modelFleet) send(d *modelDaemon, fails bool) {
	now := f.now - d.startedAt + 1
	if !d.pool.Restarted() {
		now = f.now
	}
	f.requests = append(f.requests, f.now)
	d.budget.Add(now, 1)
	if !fails {
		return
	}
	f.failed++
	if d.budget.Take(now) || d.budget.SharesSlack() && d.pool.Take(context.Background(), f.now, Routed, "s") {
		f.retries = append(f.retries, f.now)
		f.retried++
	}
}

// run sends requests at random times for a number of windows; perWindow is the rate of each
// daemon, failing the share that fails, and burst how long of each window they take.
func (f *modelFleet) run(windows int, perWindow, failing float64, burst time.Duration) {
	total := int(perWindow * float64(len(f.daemons)))
	for range windows {
		begin := f.now
		for n := range total {
			f.now = begin + int64(float64(burst)*float64(n)/float64(total))
			f.send(f.daemons[f.random.IntN(len(f.daemons))], f.random.Float64() < failing)
		}
		f.now = begin + int64(testWindow)
	}
}

// excess returns by how much the retries of the worst window exceed what the platform allows;
// it is negative if they stay below. Requests count in the window, in the one before it or in
// that half a window before it.
func (f *modelFleet) excess() (worst float64) {
	worst = -allowedSlack
	window := int64(testWindow)
	var first, last [3]int
	for i, j := 0, 0; i < len(f.retries); i++ {
		from := f.retries[i]
		for j < len(f.retries) && f.retries[j] < from+window {
			j++
		}
		requests := 0
		for shift := range 3 {
			begin := from - int64(shift)*window/2
			for first[shift] < len(f.requests) && f.requests[first[shift]] < begin {
				first[shift]++
			}
			for last[shift] < len(f.requests) && f.requests[last[shift]] < begin+window {
				last[shift]++
			}
			requests = max(requests, last[shift]-first[shift])
		}
		worst = max(worst, float64(j-i)-allowedRatio*float64(requests)-allowedSlack)
	}
	return worst
}

// fleetSizes and fleetRates are the sizes and the requests a window and daemon of the models.
var (
	fleetSizes = []int{3, 13, 46, 47, 60, 100, 300, 984}
	fleetRates = []float64{0.1, 0.3, 1, 2, 6, 16, 50, 200}
)

// TestRetriesOfAllDaemonsStayWithinTheBounds guards against retries that each daemon saves for
// itself: a service fails as a whole, at once or after it was well, evenly or in bursts.
func TestRetriesOfAllDaemonsStayWithinTheBounds(t *testing.T) {
	for _, size := range fleetSizes {
		for _, rate := range fleetRates {
			for _, burst := range []time.Duration{testWindow, testWindow / 100} {
				f := newModelFleet(size, 1)
				f.run(3, rate, 0, burst)
				f.run(2, rate, 1, burst)
				f.run(1, rate, 0.3, burst)
				test.LessEq(t, 0, f.excess(), test.Sprintf("%d daemons, %v requests a window, in %v", size, rate, burst))
			}
		}
	}
}

// TestRestartsGiveNoRetriesBack: all daemons are started again three times in a window in which
// the service fails.
func TestRestartsGiveNoRetriesBack(t *testing.T) {
	for _, size := range fleetSizes {
		for _, rate := range fleetRates {
			f := newModelFleet(size, 2)
			f.run(2, rate, 0, testWindow)
			total := int(rate * float64(size))
			begin := f.now
			for n := range total {
				f.now = begin + int64(float64(testWindow)*float64(n)/float64(total))
				if n > 0 && n%max(total/4, 1) == 0 {
					for _, d := range f.daemons {
						f.start(d, true)
					}
					f.share()
				}
				f.send(f.daemons[f.random.IntN(size)], true)
			}
			test.LessEq(t, 0, f.excess(), test.Sprintf("%d daemons, %v requests a window", size, rate))
		}
	}
}

// TestUnknownOrCutFleetsStayWithinTheBounds: daemons that do not know the number of daemons, and
// a cut in which half of the asks are lost.
func TestUnknownOrCutFleetsStayWithinTheBounds(t *testing.T) {
	for _, size := range fleetSizes {
		for _, rate := range fleetRates {
			unknown := newModelFleet(size, 3)
			unknown.known = func(*modelDaemon) int { return 0 }
			unknown.run(2, rate, 0, testWindow)
			unknown.run(1, rate, 1, testWindow)
			test.LessEq(t, 0, unknown.excess(), test.Sprintf("unknown: %d daemons, %v requests a window", size, rate))

			cut := newModelFleet(size, 4)
			cut.run(2, rate, 0, testWindow)
			cut.mayAsk = func(from, to *modelDaemon) bool { return len(from.vm)%2 == len(to.vm)%2 }
			cut.run(2, rate, 1, testWindow)
			test.LessEq(t, 0, cut.excess(), test.Sprintf("cut: %d daemons, %v requests a window", size, rate))
		}
	}
}

// TestRarelyCalledServicesKeepTheirRetries: of the requests of a rarely called service that fail
// while it is well as a whole, nine in ten are sent again.
func TestRarelyCalledServicesKeepTheirRetries(t *testing.T) {
	for _, size := range fleetSizes {
		for _, rate := range fleetRates[:len(fleetRates)-1] {
			for _, failing := range []float64{0.001, 0.01, 0.1} {
				f := newModelFleet(size, 5)
				f.run(20, rate, failing, testWindow)
				if f.failed == 0 {
					continue
				}
				perWindow := float64(f.failed) / 20
				allowed := min(1, (usedRatio*rate*float64(size)+usedSlack)/max(perWindow, 1e-9))
				t.Logf("%4d daemons, %5.1f requests a window, %.3f fail: %4d of %5d retried, share %.2f (bounds %.2f)",
					size, rate, failing, f.retried, f.failed, float64(f.retried)/float64(f.failed), allowed)
				test.LessEq(t, 0, f.excess())
				if rate <= 1 && failing <= 0.01 || failing <= 0.001 {
					test.GreaterEq(t, 0.9, float64(f.retried)/float64(f.failed))
				}
			}
		}
	}
}

// TestALargeSlackIsNotShared: each daemon of a small fleet has its part from the first start on,
// and one that was started again after one window.
func TestALargeSlackIsNotShared(t *testing.T) {
	taken := func(restarted bool, now int64) (n int) {
		b := NewPool(testWindow, restarted, rand.Float64).NewBudget(usedRatio, usedSlack, func() int { return 13 })
		for b.Take(now) {
			n++
		}
		return n
	}
	test.Eq(t, 3, taken(false, 1))
	test.Eq(t, 0, taken(true, int64(testWindow)-1))
	test.Eq(t, 3, taken(true, int64(testWindow)))
}

// TestGrantsOfOneWindow: the holder counts the grants of each window, and forgets services.
func TestGrantsOfOneWindow(t *testing.T) {
	p := NewPool(testWindow, false, rand.Float64)
	p.SetShare(Routed, Share{Held: 2})
	granted := func(now time.Duration, service string) bool {
		out := p.HandleAsk(int64(now), &Ask{ID: 7, Service: service})
		test.Eq(t, 7, out.ID)
		return out.Granted
	}
	test.True(t, granted(1*time.Second, "s"))
	test.True(t, granted(5*time.Second, "s"))
	test.False(t, granted(10*time.Second, "s"))
	test.True(t, granted(10*time.Second, "other"))
	test.True(t, granted(11*time.Second, "s"))
	test.False(t, granted(14*time.Second, "s"))
	test.False(t, p.HandleAsk(int64(time.Minute), &Ask{Class: Own, Service: "s"}).Granted)
	test.False(t, p.HandleAsk(int64(time.Minute), &Ask{Class: Classes, Service: "s"}).Granted)
	for n := range 2 * maxServices {
		granted(20*time.Second, fmt.Sprint(n))
	}
	test.LessEq(t, maxServices, len(p.granted))
	test.True(t, granted(40*time.Second, "s"))
}

// TestAnAskWithoutAnAnswerIsNotRepeatedAtOnce: the holder may have been lost.
func TestAnAskWithoutAnAnswerIsNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(testWindow, false, rand.Float64)
		asks := 0
		p.SetShare(Routed, Share{Ask: func(*Ask) { asks++ }})
		begin := time.Now()
		now := func() int64 { return int64(time.Since(begin)) + 1 }
		test.False(t, p.Take(t.Context(), now(), Routed, "s"))
		test.Eq(t, askTimeout, time.Since(begin))
		test.False(t, p.CanTake(now(), Routed, "s"))
		test.False(t, p.Take(t.Context(), now(), Routed, "s"))
		test.Eq(t, 1, asks)
		time.Sleep(askPause)
		test.True(t, p.CanTake(now(), Routed, "s"))
		test.MapEmpty(t, p.waiting)
	})
}
