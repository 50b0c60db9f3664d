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

// frame is an Ask, a Grant or a hello in flight.
type frame struct {
	// at is the earliest time of delivery.
	at       int64
	from, to int
	// generation is the receiver's generation when the frame was sent: a link connects two
	// processes, and its frames are lost when the receiving one ends. process is the sender.
	generation int
	process    string
	ask        *Ask
	grant      *Grant
	hello      *helloModel
}

// helloModel is the first frame on a link. openedAfter is on the receiver's clock.
type helloModel struct {
	openedAfter int64
	uptimeMS    uint64
}

// linkModel is a daemon's link to another process.
type linkModel struct {
	process string
	start   ProcessStart
}

// daemonModel is a simulated daemon with its own clock.
type daemonModel struct {
	node *Node
	vm   string
	// generation is the number of processes that were killed before the present one.
	generation int
	// startedAt, restartAt and frozenUntil are in world time. restartAt is when the killed
	// process starts again; 0 if it is running.
	startedAt   int64
	restartAt   int64
	frozenUntil int64
	waiters     []waitingRequest
	// previousRelease is true for a daemon that states no uptime.
	previousRelease bool
	// opened holds the generation of the process to which a link was last opened, links the
	// links whose hello has arrived, by daemon.
	opened map[int]int
	links  map[int]linkModel
	// linkedAt is the world time of this process's first link, listReadAt that from which
	// it knows the VMs.
	linkedAt   int64
	listReadAt int64
	listRead   bool
	// ranked holds the peers of each group as of the change rankedAt of the links.
	ranked   [Groups][]Peer
	rankedAt int
}

// waitingRequest is a request that has waited for a token since a time of the world.
type waitingRequest struct {
	*waiter
	since int64
}

// now converts world time to the daemon's clock.
func (d *daemonModel) now(worldNow int64) int64 { return worldNow - d.startedAt + 1 }

func (d *daemonModel) process() string { return fmt.Sprint(d.vm, "/", d.generation) }

// world simulates daemons whose links delay frames, break or are cut. World time is in
// nanoseconds since the start of the simulation.
type world struct {
	now     int64
	daemons []*daemonModel
	frames  []frame
	// partition holds the network partition of each daemon. Daemons of different
	// partitions cannot reach each other, except that partition 0 reaches all.
	partition []int
	random    *rand.Rand
	limit     teams.Limit
	team      string
	// ranking holds the daemons in the order in which they should count a group.
	ranking [Groups][]int
	// grantedAt holds the times at which requests got a token.
	grantedAt            []int64
	requested, granted   int
	delay, maxExtraDelay time.Duration
	// members returns the member count that a daemon knows.
	members func(daemon int) uint32
	// returns is the part of callers that come back; nil if none do.
	returns *returnModel
	// withoutReturns turns return times off.
	withoutReturns bool
	// maxWait is how long a request waits for a token; 0: without end.
	maxWait time.Duration
	// hubsOnly is true in a fleet where daemons have links only to the daemons that may
	// count a group, as in a large one.
	hubsOnly bool
	hubs     map[int]bool
	// listDelay is how long a restarted daemon does not know the VMs, linkSpread the range
	// of the random time after which it opens a link.
	listDelay, linkSpread time.Duration
	// linksMissing is true while two processes have no link that should have one.
	linksMissing bool
	// linkChanges counts the changes of processes and links.
	linkChanges int
	// unsure counts the requests that were not answered within maxWait, lastUnsureAt is the
	// time of the last one.
	unsure       int
	lastUnsureAt int64
	// refusals holds the requests that were refused as over the limit.
	refusals []refusal
	// refusedAfter holds how long each request without a token waited for its answer, be it
	// over the limit or unsure.
	refusedAfter []time.Duration
}

// refusal is a request refused as over the limit. sinceLinked is the time since the first
// link of its daemon.
type refusal struct {
	at          int64
	sinceLinked time.Duration
}

// counterLinks is how many daemons of each group's ranking every daemon has links to.
const counterLinks = 3

func newWorld(n int, limit teams.Limit, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, team: "red", partition: make([]int, n), delay: 2 * time.Millisecond}
	w.members = func(int) uint32 { return uint32(n) }
	for i := range n {
		d := &daemonModel{vm: fmt.Sprint("vm-", i), startedAt: -int64(5 * time.Second)}
		w.daemons = append(w.daemons, d)
		w.start(d, false)
	}
	for g := range Groups {
		for j := range n {
			w.ranking[g] = append(w.ranking[g], j)
		}
		slices.SortFunc(w.ranking[g], func(a, b int) int {
			return cmp.Compare(utils.RendezvousWeight(fmt.Sprint(g), w.daemons[b].vm), utils.RendezvousWeight(fmt.Sprint(g), w.daemons[a].vm))
		})
	}
	w.hubs = map[int]bool{}
	for g := range Groups {
		for _, j := range w.ranking[g][:min(n, counterLinks)] {
			w.hubs[j] = true
		}
	}
	for i := range w.daemons {
		w.linkAtStart(i)
	}
	return w
}

// linkAtStart gives a daemon the links to all others that it has at the start of the
// simulation.
func (w *world) linkAtStart(i int) {
	d := w.daemons[i]
	for j, other := range w.daemons {
		if j != i {
			start := ProcessStart{Known: true}
			d.opened[j], d.links[j] = other.generation, linkModel{process: other.process(), start: start}
			d.node.ObserveStart(other.vm, start)
		}
	}
	w.readList(i)
}

// readList tells a daemon the VMs.
func (w *world) readList(i int) {
	var vms []string
	for j, other := range w.daemons {
		if j != i {
			vms = append(vms, other.vm)
		}
	}
	w.daemons[i].node.SetVMs(vms, true)
	w.daemons[i].listRead = true
}

func (w *world) start(d *daemonModel, restarted bool) {
	d.opened, d.links, d.linkedAt = map[int]int{}, map[int]linkModel{}, 0
	d.listRead, d.listReadAt, w.linksMissing = false, w.now, true
	w.linkChanges++
	if restarted {
		d.listReadAt += int64(w.listDelay)
	}
	d.node = NewNode(Options{VM: d.vm, Slack: slack, Window: windowSeconds * time.Second, Restarted: restarted, RestartAfter: restartAfter, ScheduleReturns: !w.withoutReturns, Limit: func(string) (teams.Limit, bool) { return w.limit, true }})
	d.waiters = nil
}

func (w *world) connected(a, b int) bool {
	x, y := w.partition[a], w.partition[b]
	return x == y || x == 0 || y == 0
}

func (w *world) send(from, to int, f frame) {
	f.from, f.to, f.generation, f.process = from, to, w.daemons[to].generation, w.daemons[from].process()
	f.at = w.now + int64(w.delay) + w.random.Int64N(int64(w.delay)+1)
	if w.maxExtraDelay > 0 && w.random.IntN(20) == 0 {
		f.at += w.random.Int64N(int64(w.maxExtraDelay))
	}
	w.frames = append(w.frames, f)
}

// step advances the time by stepDuration.
func (w *world) step() {
	w.now += int64(stepDuration)
	for _, d := range w.daemons {
		if d.restartAt > 0 && w.now >= d.restartAt {
			d.restartAt, d.startedAt = 0, w.now
			w.start(d, true)
		}
	}
	w.openLinks()
	w.deliver()
	for i, d := range w.daemons {
		if w.runs(d) {
			w.tick(i, d)
		}
	}
}

// runs reports whether a daemon's process runs and is not frozen.
func (w *world) runs(d *daemonModel) bool { return d.restartAt == 0 && w.now >= d.frozenUntil }

// openLinks opens the missing links between processes that can reach each other.
func (w *world) openLinks() {
	if !w.linksMissing {
		return
	}
	w.linksMissing = false
	for i := range w.daemons {
		for j := range i {
			if w.hubsOnly && !w.hubs[i] && !w.hubs[j] || w.haveLink(i, j) {
				continue
			}
			if !w.canLink(i, j) {
				w.linksMissing = true
				continue
			}
			w.openLink(i, j)
			w.openLink(j, i)
		}
	}
}

// haveLink reports whether a link was opened between the present processes of two daemons.
func (w *world) haveLink(i, j int) bool {
	a, b := w.daemons[i], w.daemons[j]
	toB, okB := a.opened[j]
	toA, okA := b.opened[i]
	return okA && okB && toB == b.generation && toA == a.generation
}

// canLink reports whether a link between two daemons opens now. Its delay differs between
// pairs.
func (w *world) canLink(i, j int) bool {
	a, b := w.daemons[i], w.daemons[j]
	delay := int64((i*31+j*17)%10) * int64(w.linkSpread) / 10
	return w.runs(a) && w.runs(b) && w.connected(i, j) && w.now-max(a.startedAt, b.startedAt) >= delay
}

// openLink sends the hello of daemon j to daemon i over a new link.
func (w *world) openLink(i, j int) {
	d, other := w.daemons[i], w.daemons[j]
	d.opened[j] = other.generation
	hello := &helloModel{openedAfter: d.now(w.now)}
	if !other.previousRelease {
		hello.uptimeMS = uint64(time.Duration(other.now(w.now)).Milliseconds()) + 1
	}
	w.send(j, i, frame{hello: hello})
}

// receiveHello makes a link usable at daemon i.
func (w *world) receiveHello(i int, f frame) {
	d, start := w.daemons[i], StartOf(f.hello.openedAfter, f.hello.uptimeMS)
	d.links[f.from] = linkModel{process: f.process, start: start}
	d.node.ObserveStart(w.daemons[f.from].vm, start)
	w.linkChanges++
	if d.linkedAt == 0 {
		d.linkedAt = w.now
	}
}

// deliver delivers the frames that are due. Frames held up by a cut or a frozen receiver
// are delivered afterwards, as over a connection that survives, and frames to an ended
// process are dropped.
func (w *world) deliver() {
	due := w.frames
	w.frames = nil
	for _, f := range due {
		to := w.daemons[f.to]
		switch {
		case f.generation != to.generation:
		case f.at > w.now || !w.connected(f.from, f.to) || w.now < to.frozenUntil || to.restartAt > 0:
			w.frames = append(w.frames, f)
		case f.hello != nil:
			w.receiveHello(f.to, f)
		case f.ask != nil:
			grant := to.node.HandleAsk(to.now(w.now), w.daemons[f.from].vm, f.ask)
			if to.previousRelease {
				grant.OldestMS, grant.HoldsShare = 0, false
			}
			w.send(f.to, f.from, frame{grant: &grant})
		default:
			to.node.HandleGrant(to.now(w.now), f.process, f.grant)
		}
	}
}

func (w *world) tick(i int, d *daemonModel) {
	if d.rankedAt != w.linkChanges {
		d.rankedAt = w.linkChanges
		for g := range Groups {
			d.ranked[g] = w.ranked(i, g)
		}
	}
	members := uint32(0)
	if w.now >= d.listReadAt {
		members = w.members(i)
		if !d.listRead {
			w.readList(i)
		}
	}
	d.node.Tick(d.now(w.now), members, &d.ranked)
	remaining := d.waiters[:0]
	for _, request := range d.waiters {
		select {
		case v := <-request.verdict:
			w.record(d, v, request.since)
			continue
		default:
		}
		if w.maxWait > 0 && w.now-request.since >= int64(w.maxWait) {
			w.record(d, d.node.giveUp(w.team, request.waiter), request.since)
			continue
		}
		remaining = append(remaining, request)
	}
	d.waiters = remaining
}

// ranked returns the peers that daemon i has links with, for group g. It includes peers
// behind a cut that began after the link was opened: nodes must detect a cut by missing
// answers.
func (w *world) ranked(i, g int) (out []Peer) {
	for _, j := range w.ranking[g] {
		other := w.daemons[j]
		known := w.daemons[i].links[j]
		if j != i && (other.restartAt > 0 || known.process != other.process()) {
			continue
		}
		p := Peer{Process: other.process(), VM: other.vm, Start: known.start}
		if j != i {
			generation := other.generation
			p.Send = func(a *Ask) {
				if w.daemons[j].generation == generation {
					copied := *a
					if w.daemons[i].previousRelease {
						copied.UptimeMS, copied.UnearnedMS, copied.HistoryLost = 0, 0, false
					}
					w.send(i, j, frame{ask: &copied})
				}
			}
		}
		if out = append(out, p); len(out) == counterLinks && j != i {
			break
		}
	}
	if !slices.ContainsFunc(out, func(p Peer) bool { return p.Send == nil }) {
		out = append(out, Peer{Process: w.daemons[i].process()})
	}
	return out
}

// record counts the verdict on a request that has waited since a time of the world.
func (w *world) record(d *daemonModel, v Verdict, since int64) {
	w.requested++
	w.returns.refused(w, d, v)
	if !v.Granted {
		w.refusedAfter = append(w.refusedAfter, time.Duration(w.now-since))
	}
	switch {
	case v.Granted:
		w.granted++
		w.grantedAt = append(w.grantedAt, w.now)
	case v.Unsure:
		w.unsure++
		w.lastUnsureAt = w.now
	default:
		w.refusals = append(w.refusals, refusal{at: w.now, sinceLinked: time.Duration(w.now - d.linkedAt)})
	}
}

// request sends one request of the team to a daemon.
func (w *world) request(i int) {
	d := w.daemons[i]
	if d.restartAt > 0 || w.now < d.frozenUntil {
		return
	}
	request, v := d.node.takeOrWait(d.now(w.now), w.team)
	if request == nil {
		w.record(d, v, w.now)
		return
	}
	d.waiters = append(d.waiters, waitingRequest{waiter: request, since: w.now})
}

func (w *world) kill(i int, down time.Duration) {
	d := w.daemons[i]
	if d.restartAt > 0 {
		return
	}
	d.generation++
	w.linkChanges++
	d.restartAt = w.now + int64(max(down, restartAfter))
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

// run sends perSecond requests per second to randomly chosen daemons for a time.
// beforeStep, if not nil, is called before each step.
func (w *world) run(perSecond float64, duration time.Duration, beforeStep func(step int)) {
	pending := 0.0
	for step := range int(duration / stepDuration) {
		if beforeStep != nil {
			beforeStep(step)
		}
		w.step()
		for pending += perSecond * stepDuration.Seconds(); pending >= 1; pending-- {
			w.request(w.random.IntN(len(w.daemons)))
		}
		w.returns.sendDue(w)
	}
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
