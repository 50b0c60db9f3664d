package forward

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
)

const (
	// probeAfter is how long an attempt waits for a sign of life from the executor's
	// daemon before it sends a probe.
	probeAfter = 150 * time.Millisecond
	// unresponsiveAfter is how long after the probe a daemon that gave no sign of life
	// counts as unresponsive. It is longer than the 100 ms for which a CPU quota may stop
	// a process.
	unresponsiveAfter = 200 * time.Millisecond
)

// liveness is implemented by runners whose daemon may be unreachable, as links are. The
// runner of this daemon's own executor does not implement it.
type liveness interface {
	// Silence returns the time since the daemon last gave a sign of life.
	Silence() time.Duration
	// Probe asks the daemon for a sign of life.
	Probe()
}

// livenessWatch detects during one attempt that the executor's daemon is unresponsive. The
// daemon of a VM that is powered off, cut off or suspended sends nothing, not even an
// error.
type livenessWatch struct {
	// peer and timer are nil for a runner without liveness.
	peer  liveness
	timer *time.Timer
	// since is when the watch began to wait for a sign of life.
	since time.Time
	// probed is true if a probe was sent after since.
	probed bool
}

// newLivenessWatch starts to watch a runner.
func newLivenessWatch(runner call.Runner) *livenessWatch {
	peer, ok := runner.(liveness)
	if !ok {
		return &livenessWatch{}
	}
	return &livenessWatch{peer: peer, timer: time.NewTimer(probeAfter), since: time.Now()}
}

// due returns the channel that receives when checkUnresponsive must be called. It is nil, and
// never receives, for a runner without liveness.
func (w *livenessWatch) due() <-chan time.Time {
	if w.timer == nil {
		return nil
	}
	return w.timer.C
}

// checkUnresponsive reports whether the daemon is unresponsive. The first check without a
// sign of life sends a probe; the daemon is unresponsive if the next check finds none
// either.
func (w *livenessWatch) checkUnresponsive() bool {
	heard := w.peer.Silence() < time.Since(w.since)
	switch {
	case heard:
		w.since, w.probed = time.Now(), false
		w.timer.Reset(probeAfter)
		return false
	case !w.probed:
		w.probed = true
		w.peer.Probe()
		w.timer.Reset(unresponsiveAfter)
		return false
	}
	w.timer.Reset(unresponsiveAfter)
	return true
}

func (w *livenessWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
