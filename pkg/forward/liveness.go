package forward

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
)

const (
	// probeAfter is how long an attempt waits before the executor is asked for
	// a sign of life, where none came in the meantime.
	probeAfter = 150 * time.Millisecond
	// silentAfter is how long after that an executor without one counts as
	// silent. It is over the tenth of a second for which a processor quota may
	// stop a process.
	silentAfter = 200 * time.Millisecond
)

// liveness is a runner that tells whether its daemon gives signs of life, as a
// link does. The runner of this daemon itself does not need to.
type liveness interface {
	Silence() time.Duration
	Probe()
}

// watch looks after the executor of one attempt: a VM without power, behind a
// cut or stopped says nothing, and no error comes of it.
type watch struct {
	peer  liveness
	timer *time.Timer
	began time.Time
	// probed is true once a sign of life was asked for.
	probed bool
}

func newWatch(runner call.Runner) *watch {
	peer, ok := runner.(liveness)
	if !ok {
		return &watch{}
	}
	return &watch{peer: peer, timer: time.NewTimer(probeAfter), began: time.Now()}
}

// due is readable when silent must be asked.
func (w *watch) due() <-chan time.Time {
	if w.timer == nil {
		return nil
	}
	return w.timer.C
}

// silent decides whether the executor is silent. It asks for a sign of life at
// first, and looks again after a while.
func (w *watch) silent() bool {
	heard := w.peer.Silence() < time.Since(w.began)
	switch {
	case heard:
		w.began, w.probed = time.Now(), false
		w.timer.Reset(probeAfter)
		return false
	case !w.probed:
		w.probed = true
		w.peer.Probe()
		w.timer.Reset(silentAfter)
		return false
	}
	w.timer.Reset(silentAfter)
	return true
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
