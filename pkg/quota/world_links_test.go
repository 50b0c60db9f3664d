package quota

import (
	"time"
)

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
