package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/teams"
	"github.com/rushramp/rushramp/pkg/utils"
)

// The platform's terms, as in the users' deployments.
const (
	windowSeconds = 5
	overshoot     = 0.1
	slack         = 20
	restartAfter  = 300 * time.Millisecond
	stepTime      = 10 * time.Millisecond
)

// bound is the most requests of a team that may run in any window.
func bound(l teams.Limit) float64 {
	return (l.Rate*windowSeconds+l.Burst)*(1+overshoot) + slack
}

// frame is a question or an answer on its way.
type frame struct {
	at       int64
	from, to int
	// life is the receiver's that it was sent to, process the sender: a link is one between
	// two processes.
	life    int
	process string
	ask     *Ask
	grant   *Grant
}

// daemon is a node of the model with its own clock.
type daemonModel struct {
	node *Node
	vm   string
	life int
	// startedAt is on the world's clock; upAt is when the process starts again, 0: it runs.
	startedAt int64
	upAt      int64
	frozen    int64
	waiting   []*waiter
}

func (d *daemonModel) now(world int64) int64 { return world - d.startedAt + 1 }

func (d *daemonModel) process() string { return fmt.Sprint(d.vm, "/", d.life) }

// world is a model of daemons whose links delay, break and cut.
type world struct {
	now     int64
	daemons []*daemonModel
	frames  []frame
	// side divides the daemons: two of different sides do not reach each other, but for
	// those on side 0, who reach all.
	side   []int
	random *rand.Rand
	limit  teams.Limit
	team   string
	// order is that in which daemons should count a group.
	order [Groups][]int
	// runs are the times at which requests were let in.
	runs            []int64
	asked, let      int
	delay, mostSlow time.Duration
	// members is how many daemons each believes in.
	members func(daemon int) uint32
}

func newWorld(n int, limit teams.Limit, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, team: "red", side: make([]int, n), delay: 2 * time.Millisecond}
	w.members = func(int) uint32 { return uint32(n) }
	for i := range n {
		d := &daemonModel{vm: fmt.Sprint("vm-", i), startedAt: -int64(5 * time.Second)}
		w.daemons = append(w.daemons, d)
		w.start(d, false)
	}
	for g := range Groups {
		for j := range n {
			w.order[g] = append(w.order[g], j)
		}
		slices.SortFunc(w.order[g], func(a, b int) int {
			return cmp.Compare(utils.Rendezvous(fmt.Sprint(g), w.daemons[b].vm), utils.Rendezvous(fmt.Sprint(g), w.daemons[a].vm))
		})
	}
	return w
}

func (w *world) start(d *daemonModel, restarted bool) {
	d.node = NewNode(Options{VM: d.vm, Slack: slack, Window: windowSeconds * time.Second, Restarted: restarted, RestartAfter: restartAfter, Limit: func(string) (teams.Limit, bool) { return w.limit, true }})
	d.waiting = nil
}

func (w *world) reach(a, b int) bool {
	x, y := w.side[a], w.side[b]
	return x == y || x == 0 || y == 0
}

func (w *world) send(from, to int, f frame) {
	f.from, f.to, f.life, f.process = from, to, w.daemons[to].life, w.daemons[from].process()
	f.at = w.now + int64(w.delay) + w.random.Int64N(int64(w.delay)+1)
	if w.mostSlow > 0 && w.random.IntN(20) == 0 {
		f.at += w.random.Int64N(int64(w.mostSlow))
	}
	w.frames = append(w.frames, f)
}

// step moves the world on.
func (w *world) step() {
	w.now += int64(stepTime)
	for _, d := range w.daemons {
		if d.upAt > 0 && w.now >= d.upAt {
			d.upAt, d.startedAt = 0, w.now
			w.start(d, true)
		}
	}
	w.deliver()
	for i, d := range w.daemons {
		if d.upAt == 0 && w.now >= d.frozen {
			w.tick(i, d)
		}
	}
}

// deliver hands over the frames that are due; those that a cut holds up come after it,
// as over a connection that survives it, or not at all.
func (w *world) deliver() {
	due := w.frames
	w.frames = nil
	for _, f := range due {
		to := w.daemons[f.to]
		switch {
		case f.life != to.life:
		case f.at > w.now || !w.reach(f.from, f.to) || w.now < to.frozen || to.upAt > 0:
			w.frames = append(w.frames, f)
		case f.ask != nil:
			grant := to.node.HandleAsk(to.now(w.now), w.daemons[f.from].vm, f.ask)
			w.send(f.to, f.from, frame{grant: &grant})
		default:
			to.node.HandleGrant(to.now(w.now), f.process, f.grant)
		}
	}
}

func (w *world) tick(i int, d *daemonModel) {
	var ranked [Groups][]Peer
	for g := range Groups {
		ranked[g] = w.ranked(i, g)
	}
	d.node.Tick(d.now(w.now), w.members(i), &ranked)
	still := d.waiting[:0]
	for _, waits := range d.waiting {
		select {
		case v := <-waits.verdict:
			w.take(v)
		default:
			still = append(still, waits)
		}
	}
	d.waiting = still
}

// ranked are the daemons that one has links with. A cut is found by silence only.
func (w *world) ranked(i, g int) (out []Peer) {
	for _, j := range w.order[g] {
		other := w.daemons[j]
		if other.upAt > 0 {
			continue
		}
		p := Peer{Process: other.process()}
		if j != i {
			life := other.life
			p.Send = func(a *Ask) {
				if w.daemons[j].life == life {
					copied := *a
					w.send(i, j, frame{ask: &copied})
				}
			}
		}
		if out = append(out, p); len(out) == 3 && j != i {
			break
		}
	}
	if !slices.ContainsFunc(out, func(p Peer) bool { return p.Send == nil }) {
		out = append(out, Peer{Process: w.daemons[i].process()})
	}
	return out
}

func (w *world) take(v Verdict) {
	w.asked++
	if v.Granted {
		w.let++
		w.runs = append(w.runs, w.now)
	}
}

// request sends one request of the team to a daemon.
func (w *world) request(i int) {
	d := w.daemons[i]
	if d.upAt > 0 || w.now < d.frozen {
		return
	}
	waits, v := d.node.begin(d.now(w.now), w.team)
	if waits == nil {
		w.take(v)
		return
	}
	d.waiting = append(d.waiting, waits)
}

func (w *world) kill(i int, down time.Duration) {
	d := w.daemons[i]
	if d.upAt > 0 {
		return
	}
	d.life++
	d.upAt = w.now + int64(max(down, restartAfter))
}

// most is the largest number of requests that were let in during one window.
func (w *world) most() (most int) {
	from := 0
	for to, at := range w.runs {
		for at-w.runs[from] >= windowSeconds*int64(time.Second) {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// play has callers send so many requests a second for a time, at daemons drawn anew.
func (w *world) play(perSecond float64, length time.Duration, each func(step int)) {
	owed := 0.0
	for step := range int(length / stepTime) {
		if each != nil {
			each(step)
		}
		w.step()
		for owed += perSecond * stepTime.Seconds(); owed >= 1; owed-- {
			w.request(w.random.IntN(len(w.daemons)))
		}
	}
}

// lentMost is the largest sum of the parts that are lent to counters of one group now.
func (w *world) lentMost() (most float64) {
	for g := range Groups {
		sum := 0.0
		for _, d := range w.daemons {
			if d.upAt > 0 {
				continue
			}
			for _, lent := range d.node.pools[g].parts {
				if lent.until > d.now(w.now) {
					sum += lent.size
				}
			}
		}
		most = max(most, sum)
	}
	return most
}

// TestNoTeamExceedsItsLimitInAnyWindow whatever is killed, cut, delayed or frozen: a team
// sends many times its limit all the while.
func TestNoTeamExceedsItsLimitInAnyWindow(t *testing.T) {
	const wholeLimit = 1 + 1e-9
	rapid.Check(t, func(t *rapid.T) {
		limit := teams.Limit{Rate: rapid.Float64Range(0.5, 200).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0, 2).Draw(t, "burst")
		n := rapid.IntRange(2, 12).Draw(t, "daemons")
		w := newWorld(n, limit, rapid.Uint64().Draw(t, "seed"))
		w.mostSlow = time.Duration(rapid.IntRange(0, 3000).Draw(t, "slow")) * time.Millisecond
		w.play(10*limit.Rate+20, 12*time.Second, func(step int) {
			if lent := w.lentMost(); lent > wholeLimit {
				t.Fatalf("%.3f of a limit are lent at %v", lent, time.Duration(w.now))
			}
			if step%20 != 0 {
				return
			}
			switch rapid.IntRange(0, 7).Draw(t, "trouble") {
			case 0:
				w.kill(rapid.IntRange(0, n-1).Draw(t, "killed"), time.Duration(rapid.IntRange(0, 2000).Draw(t, "down"))*time.Millisecond)
			case 1:
				for i := range n {
					w.side[i] = rapid.IntRange(0, 3).Draw(t, "side")
				}
			case 2:
				for i := range n {
					w.side[i] = 0
				}
			case 3:
				w.daemons[rapid.IntRange(0, n-1).Draw(t, "frozen")].frozen = w.now + int64(rapid.IntRange(0, 3000).Draw(t, "for"))*int64(time.Millisecond)
			case 4:
				if rapid.IntRange(0, 9).Draw(t, "all") == 0 {
					for i := range n {
						w.kill(i, 500*time.Millisecond)
					}
				}
			}
		})
		if most := w.most(); float64(most) > bound(limit) {
			t.Fatalf("%d requests in a window, %.1f are allowed", most, bound(limit))
		}
	})
}

// letIn is the share of requests that were let in of a team which sends a share of its
// limit.
func letIn(seed uint64, limit teams.Limit, share float64, each func(w *world, step int)) float64 {
	w := newWorld(12, limit, seed)
	w.play(0, 3*time.Second, nil)
	w.play(share*limit.Rate, 20*time.Second, func(step int) {
		if each != nil {
			each(w, step)
		}
	})
	w.play(0, time.Second, nil)
	return float64(w.let) / float64(w.asked)
}

// someRates are those of a small, a middling and a large team, in requests a second, and
// someSeeds are of plays each.
var (
	someRates = []float64{2, 20, 200}
	someSeeds = uint64(4)
)

// meanLetIn is letIn over some teams and seeds.
func meanLetIn(share float64, each func(w *world, step int)) (out float64) {
	for _, rate := range someRates {
		for seed := range someSeeds {
			out += letIn(seed, teams.Limit{Rate: rate, Burst: rate}, share, each)
		}
	}
	return out / float64(len(someRates)*int(someSeeds))
}

// TestATeamWithinItsLimitIsLetIn: 999 of 1,000 without troubles.
func TestATeamWithinItsLimitIsLetIn(t *testing.T) {
	test.GreaterEq(t, 0.999, meanLetIn(0.9, nil))
}

// TestAKillOfWhoeverCountsCostsLittle: 97 of 100 are let in.
func TestAKillOfWhoeverCountsCostsLittle(t *testing.T) {
	test.GreaterEq(t, 0.97, meanLetIn(0.6, func(w *world, step int) {
		if step != 500 {
			return
		}
		for i, d := range w.daemons {
			if d.node.Holds(d.now(w.now), GroupOf(w.team)) > 0.5 {
				w.kill(i, time.Second)
			}
		}
	}))
}

// TestACutIntoHalvesCostsLittle: 97 of 100 are let in.
func TestACutIntoHalvesCostsLittle(t *testing.T) {
	test.GreaterEq(t, 0.97, meanLetIn(0.6, func(w *world, step int) {
		for i := range w.daemons {
			w.side[i] = 0
			if step > 500 && step < 1000 {
				w.side[i] = 1 + i%2
			}
		}
	}))
}
