// Package linkdelay estimates by how much the link of a VM delays calls, from the delays that
// are seen on each of its links to other VMs. It does not use the network. Times are
// nanoseconds of a monotonic clock that the owner passes in. Source:
// docs/design/links-as-a-resource.md.
package linkdelay

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/acks"
)

const (
	// HalfLife is the time in which a delay loses half of its weight. A queue of 300 kB on a
	// link of 10 Mbit/s is gone in 240 ms.
	HalfLife = 250 * time.Millisecond
	// Least is the least delay that counts. Shorter ones are due to the scheduling of
	// processes.
	Least = acks.SchedulingAllowance
	// activeFor is how long a link counts after its latest call.
	activeFor = 4 * HalfLife
)

// Decay returns what is expected to be left of a delay after some time.
func Decay(delay, age time.Duration) time.Duration {
	if delay <= 0 || age <= 0 {
		return delay
	}
	return time.Duration(float64(delay) * weight(age))
}

// weight returns the weight of an observation of the given age, from 1 to 0.
func weight(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(HalfLife)) }

// Delays holds the recent delays of one VM's links, which K identifies. It is safe for
// concurrent use.
type Delays[K comparable] struct {
	mu    sync.Mutex
	links map[K]*link
	// slowUntil is the time until which a delay of at least Least counts. Current returns 0
	// after it.
	slowUntil int64
	// slow is the buffer of observe.
	slow []observation
}

// link is the recent delay of one link.
type link struct {
	// delay is the highest delay, decayed until the latest call, which was seen at seenAt.
	delay  time.Duration
	seenAt int64
}

// NewDelays returns a Delays without links.
func NewDelays[K comparable]() *Delays[K] { return &Delays[K]{links: map[K]*link{}} }

// Record records by how much a call on a link was delayed.
func (d *Delays[K]) Record(now int64, id K, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links[id]
	if l == nil {
		d.removeInactive(now)
		l = &link{}
		d.links[id] = l
	}
	l.delay = max(Decay(l.delay, time.Duration(now-l.seenAt)), delay)
	l.seenAt = now
	if delay >= Least {
		d.slowUntil = now + int64(activeFor)
	}
}

// Remove forgets a link that has ended.
func (d *Delays[K]) Remove(id K) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.links, id)
}

// removeInactive forgets the links that no longer count. The caller holds mu.
func (d *Delays[K]) removeInactive(now int64) {
	for id, l := range d.links {
		if !l.isActive(now) {
			delete(d.links, id)
		}
	}
}

func (l *link) isActive(now int64) bool { return now-l.seenAt < int64(activeFor) }

// observation is the delay of a link at its latest call, with the weight that it has now.
type observation struct {
	delay  time.Duration
	weight float64
}

// Current returns the delay that most links see: the median of the delays of all links,
// weighted by how recent their calls are, without the link with the longest delay. A queue on
// the VM's own link delays the calls on all of its links, a queue on another VM's link
// only those to or from that VM. A single link is not left out. The result decays from the
// latest call on. Current returns 0 if the delay is shorter than Least, or fewer than minLinks
// links are active.
func (d *Delays[K]) Current(now int64, minLinks int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now >= d.slowUntil {
		return 0
	}
	seen := d.observe(now)
	if seen.links == 0 || seen.links < minLinks {
		return 0
	}
	if seen.links > 1 && len(seen.slow) > 0 {
		seen.slow = seen.slow[:len(seen.slow)-1]
	}
	out := Decay(seen.median(), time.Duration(now-seen.latest))
	if out < Least {
		return 0
	}
	return out
}

// observations are those of the active links.
type observations struct {
	links int
	// slow holds those with a delay of at least Least, the shortest first.
	slow []observation
	// promptWeight is the weight of all others.
	promptWeight float64
	// latest is when the latest call was seen.
	latest int64
}

// observe returns the observations of the active links. They are valid until the next call.
// The caller holds mu.
func (d *Delays[K]) observe(now int64) observations {
	out := observations{slow: d.slow[:0]}
	for _, l := range d.links {
		if !l.isActive(now) {
			continue
		}
		out.links++
		out.latest = max(out.latest, l.seenAt)
		w := weight(time.Duration(now - l.seenAt))
		if l.delay < Least {
			out.promptWeight += w
			continue
		}
		out.slow = append(out.slow, observation{delay: l.delay, weight: w})
	}
	d.slow = out.slow
	slices.SortFunc(out.slow, func(a, b observation) int { return cmp.Compare(a.delay, b.delay) })
	return out
}

// median returns the weighted median; 0: it is below Least.
func (o *observations) median() time.Duration {
	total := o.promptWeight
	for _, s := range o.slow {
		total += s.weight
	}
	sum := o.promptWeight
	if len(o.slow) == 0 || 2*sum >= total {
		return 0
	}
	for _, s := range o.slow {
		if sum += s.weight; 2*sum >= total {
			return s.delay
		}
	}
	return o.slow[len(o.slow)-1].delay
}
