package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/teams"
	"github.com/rushramp/rushramp/pkg/utils"
)

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
