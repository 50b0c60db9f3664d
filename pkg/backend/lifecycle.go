package backend

import (
	"sync"
	"time"
)

const (
	// rememberDepartures is how long the id of a process that said it leaves is
	// remembered. It is far longer than any such process lives on.
	rememberDepartures = 5 * time.Minute
	// confirmedFor is how long a sign of life of one incarnation outweighs a
	// heartbeat of another one, which may come seconds late.
	confirmedFor = 2 * time.Second
	// longestCold bounds what a backend server says of its being cold: one that is
	// wrong by more must not be held to few starts for long. Those of the users' sites
	// are cold for three seconds.
	longestCold = time.Minute
	// downAfter is how many connections in a row must be refused before the
	// backend server counts as down.
	downAfter = 2
	// mostVersions bounds the incarnations whose versions are remembered: one that is
	// seen by its health path first has said its version before, or will soon.
	mostVersions = 16
)

// State is what the daemon believes of its backend server.
type State uint8

// The states of a backend server.
const (
	// Unknown: no incarnation has shown itself yet.
	Unknown State = iota
	// Live: the incarnation takes requests.
	Live
	// Leaving: the incarnation said that it leaves; it gets nothing more.
	Leaving
	// Down: connections are refused.
	Down
)

// String returns the state's word in log lines.
func (s State) String() string {
	return [...]string{"unknown", "live", "leaving", "down"}[s]
}

// Heartbeat is a backend server's announcement of itself.
type Heartbeat struct {
	Instance string
	// Sequence rises with each call of one incarnation, so that a late one is
	// known.
	Sequence uint64
	Slots    int
	Leaving  bool
	// Version is the one of the service's program that it runs; empty: it does not
	// say.
	Version string
	// ColdFor is how much longer it is cold from its start.
	ColdFor time.Duration
}

// Cold is what the current incarnation said of its being cold.
type Cold struct {
	// Till is until when it is cold at the latest; in the past for one that is warm.
	Till int64
	// TillLeast is until when it is cold at least: an answer may have been on its way
	// for as long as the question took.
	TillLeast int64
	// ToldAt is when its health path was last asked for what it then said. Heartbeats may come seconds late,
	// so that none proves that a backend server is warm.
	ToldAt int64
	// ByHeartbeat is true where a heartbeat told the longest time: it may have been on
	// its way for seconds, so that the cold time may have begun at any time since ToldAt.
	ByHeartbeat bool
}

// Lifecycle knows which incarnation of the backend server may get requests.
// Times are nanoseconds of a steady clock, handed in. It is safe for
// concurrent use.
type Lifecycle struct {
	mu       sync.Mutex
	instance string
	state    State
	// informed is true once all departures that could matter are known: a
	// daemon that was started again may have acknowledged one before.
	informed bool
	// seenAt is the last sign of life of instance.
	seenAt   int64
	cold     Cold
	sequence map[string]uint64
	// versions are those that incarnations have said.
	versions map[string]string
	departed map[string]int64
	// replaced are incarnations after which another one was seen at the address, and
	// when. A heartbeat that a cut held back does not bring one of them back.
	replaced map[string]int64
	refusals int
	// changed is called without the lock after each change of the belief.
	changed func(instance string, state State)
}

// NewLifecycle makes the lifecycle of a backend server that has not been seen.
// informed is true when no departure can have been acknowledged before, as at
// the first start of the whole system. changed may be nil.
func NewLifecycle(informed bool, changed func(instance string, state State)) *Lifecycle {
	if changed == nil {
		changed = func(string, State) {}
	}
	return &Lifecycle{informed: informed, changed: changed, sequence: map[string]uint64{}, versions: map[string]string{}, departed: map[string]int64{}, replaced: map[string]int64{}}
}

// Accepting returns the incarnation that may get requests now; ok is false when
// there is none.
func (l *Lifecycle) Accepting() (instance string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instance, l.informed && l.state == Live
}

// Current returns the incarnation and what is believed of it.
func (l *Lifecycle) Current() (instance string, state State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instance, l.state
}

// Version returns the version that the current incarnation has said; empty: it has
// said none yet.
func (l *Lifecycle) Version() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[l.instance]
}

// takeVersion remembers the version of an incarnation, which never changes.
func (l *Lifecycle) takeVersion(h Heartbeat) {
	if _, known := l.versions[h.Instance]; known || h.Version == "" {
		return
	}
	if len(l.versions) >= mostVersions {
		own, said := l.versions[l.instance]
		clear(l.versions)
		if said {
			l.versions[l.instance] = own
		}
	}
	l.versions[h.Instance] = h.Version
}

// Cold returns what the current incarnation said of its being cold.
func (l *Lifecycle) Cold() Cold {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold
}

// TakeCold takes over what the health path of an incarnation says of its being
// cold, which goes before any heartbeat. asked is when it was asked.
func (l *Lifecycle) TakeCold(asked, now int64, instance string, coldFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if instance == l.instance {
		l.cold = Cold{Till: coldTill(now, coldFor), TillLeast: coldTill(asked, coldFor), ToldAt: asked}
	}
}

// coldTill is until when a backend server is cold that says so for a time.
func coldTill(now int64, coldFor time.Duration) int64 {
	return now + int64(min(max(coldFor, 0), longestCold))
}

// Informed notes that all departures that could matter are known.
func (l *Lifecycle) Informed() {
	l.change(func() { l.informed = true })
}

// IsInformed is true once all departures that could matter are known.
func (l *Lifecycle) IsInformed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.informed
}

// change runs do under the lock and tells of what changed for others.
func (l *Lifecycle) change(do func()) {
	l.mu.Lock()
	oldInstance, oldState, oldInformed, oldVersion := l.instance, l.state, l.informed, l.versions[l.instance]
	do()
	instance, state := l.instance, l.state
	same := instance == oldInstance && state == oldState && l.informed == oldInformed && l.versions[l.instance] == oldVersion
	l.mu.Unlock()
	if !same {
		l.changed(instance, state)
	}
}

// Heartbeat takes an announcement. It returns true when the announcement says
// for the first time that the incarnation leaves.
func (l *Lifecycle) Heartbeat(now int64, h Heartbeat) (departed bool) {
	l.change(func() {
		late := h.Sequence <= l.sequence[h.Instance]
		l.sequence[h.Instance] = max(h.Sequence, l.sequence[h.Instance])
		l.takeVersion(h)
		switch {
		case h.Leaving:
			departed = l.depart(now, h.Instance)
		case !late && l.mayShow(now, h.Instance):
			l.show(now, h.Instance)
			l.takeColdHeartbeat(coldTill(now, h.ColdFor))
		}
	})
	return departed
}

// takeColdHeartbeat takes over what a heartbeat says: it may only make the cold time
// longer.
func (l *Lifecycle) takeColdHeartbeat(till int64) {
	if till > l.cold.Till {
		l.cold.Till, l.cold.TillLeast, l.cold.ByHeartbeat = till, till, true
	}
}

// mayShow is true where a heartbeat may make its sender the current incarnation.
func (l *Lifecycle) mayShow(now int64, instance string) bool {
	if instance == l.instance {
		return true
	}
	_, replaced := l.replaced[instance]
	return !replaced && !l.confirmed(now)
}

// confirmed is true while the current incarnation has shown itself lately.
func (l *Lifecycle) confirmed(now int64) bool {
	return l.state == Live && now-l.seenAt < int64(confirmedFor)
}

// show notes a sign of life. An incarnation that said it leaves stays so.
func (l *Lifecycle) show(now int64, instance string) {
	if instance == "" {
		return
	}
	if _, gone := l.departed[instance]; gone {
		if l.instance == "" || l.instance == instance {
			l.instance, l.state = instance, Leaving
		}
		return
	}
	if instance != l.instance {
		l.cold = Cold{}
	}
	l.instance, l.state, l.seenAt, l.refusals = instance, Live, now, 0
}

// replace notes a first-hand sign of life, which ends any other incarnation at the
// address.
func (l *Lifecycle) replace(now int64, instance string) {
	if instance != "" && instance != l.instance {
		l.replaced[l.instance] = now
	}
	l.show(now, instance)
}

// Seen takes an answer that names the incarnation, as that of the health path
// does: it is first-hand, so it goes before any heartbeat.
func (l *Lifecycle) Seen(now int64, instance string) {
	l.change(func() { l.replace(now, instance) })
}

// Answered notes a sign of life of the current incarnation.
func (l *Lifecycle) Answered(now int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seenAt, l.refusals = now, 0
}

// Depart takes the word that an incarnation leaves, from itself or from a peer
// that knows. It returns true the first time.
func (l *Lifecycle) Depart(now int64, instance string) (first bool) {
	l.change(func() { first = l.depart(now, instance) })
	return first
}

func (l *Lifecycle) depart(now int64, instance string) (first bool) {
	l.forgetOld(now)
	if _, known := l.departed[instance]; known {
		return false
	}
	l.departed[instance] = now
	if l.instance == instance {
		l.state = Leaving
	}
	return true
}

func (l *Lifecycle) forgetOld(now int64) {
	for id, at := range l.departed {
		if now-at > int64(rememberDepartures) {
			delete(l.departed, id)
			delete(l.sequence, id)
		}
	}
	for id, at := range l.replaced {
		if now-at > int64(rememberDepartures) {
			delete(l.replaced, id)
		}
	}
}

// Departures lists the ids that are remembered.
func (l *Lifecycle) Departures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.departed))
	for id := range l.departed {
		out = append(out, id)
	}
	return out
}

// Replaced notes that another incarnation answers at the address.
func (l *Lifecycle) Replaced(now int64, by string) {
	l.change(func() {
		if by == "" {
			l.state = Unknown
			return
		}
		l.replace(now, by)
	})
}

// Ended notes that the process of an incarnation has ended: it is down until something
// shows itself at the address.
func (l *Lifecycle) Ended(instance string) {
	l.change(func() {
		if l.instance == instance && l.state == Live {
			l.state = Down
		}
	})
}

// Unreachable notes a refused connection.
func (l *Lifecycle) Unreachable() {
	l.change(func() {
		l.refusals++
		if l.refusals >= downAfter && l.state == Live {
			l.state = Down
		}
	})
}
