// Package crash tells when the process of a backend server has ended under the requests
// that it ran, and lets all daemons know which these were. Source:
// docs/design/quarantine.md.
package crash

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/netdial"
	"github.com/rushramp/rushramp/pkg/quarantine"
)

const (
	// othersBreakWithin is how long after the first one the connections of other runs
	// may still seem whole when the process behind them has ended. On one VM the
	// system closes them all at once; what takes time is to read that of each.
	othersBreakWithin = 30 * time.Millisecond
	othersBreakEvery  = 2 * time.Millisecond
	// refusedWithin bounds the question whether somebody listens: on one VM the system
	// says so at once, and where it does not, somebody is there who is too busy to accept.
	refusedWithin = 50 * time.Millisecond
	// mostLogged bounds the runs that the line of a crash names.
	mostLogged = 16
)

// AbortedRun is a request that broke off at the backend server.
type AbortedRun struct {
	// ID is the request's own, for the log.
	ID      string
	Content quarantine.Fingerprint
}

// Deps is what a watch works with besides the shared dependencies.
type Deps struct {
	// Running counts the requests at the backend server, those that have just broken
	// off among them.
	Running func() int
	// Instance is the backend server's incarnation; leaving is true for one that has
	// said that it leaves, so that its end is planned.
	Instance func() (instance string, leaving bool)
	// OnCrash is told that the process of an incarnation has ended.
	OnCrash func(instance string)
}

// Detector tells runs that broke off because the backend server's process ended from those
// that it broke off itself: then new connections are refused, and no other run goes on.
// A backend server that is full refuses connections, too, while others run. It is safe
// for concurrent use.
type Detector struct {
	*common.Common
	deps    Deps
	crashes *metrics.Counter

	mu sync.Mutex
	// broken are the runs that the look under way is about; look is nil without one.
	broken []AbortedRun
	look   *look
}

// look is one look at whether the process has ended.
type look struct {
	done  chan struct{}
	ended bool
}

// NewDetector makes the watch of the backend server in the settings.
func NewDetector(c *common.Common, deps Deps) *Detector {
	return &Detector{Common: c, deps: deps, crashes: c.Metrics.GetOrCreateCounter("rushramp_backend_crashes_total")}
}

// ReportAborted takes a run that broke off without an answer, and is true where the backend
// server's process has ended. It waits for that to be known: less than a millisecond
// while the process is there.
func (w *Detector) ReportAborted(run AbortedRun) (ended bool) {
	w.mu.Lock()
	w.broken = append(w.broken, run)
	if w.look == nil {
		w.look = &look{done: make(chan struct{})}
		go w.run(w.look)
	}
	l := w.look
	w.mu.Unlock()
	<-l.done
	return l.ended
}

func (w *Detector) run(l *look) {
	instance, leaving := w.deps.Instance()
	l.ended = !leaving && w.refusesConnections() && w.allBreak()
	w.mu.Lock()
	runs := w.broken
	w.broken, w.look = nil, nil
	w.mu.Unlock()
	if l.ended {
		w.tell(instance, runs)
	}
	close(l.done)
}

// refusesConnections is true where nobody listens at the backend server's address.
func (w *Detector) refusesConnections() bool {
	c, err := netdial.New(refusedWithin, 0).DialContext(context.Background(), "tcp", w.Settings.BackendServer.Address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// allBreak waits for the other runs; false where one goes on.
func (w *Detector) allBreak() bool {
	for waited := time.Duration(0); waited < othersBreakWithin; waited += othersBreakEvery {
		w.mu.Lock()
		all := len(w.broken) >= w.deps.Running()
		w.mu.Unlock()
		if all {
			return true
		}
		time.Sleep(othersBreakEvery)
	}
	return false
}

// tell lets all daemons know what ran, before the ends of the runs are told: their
// entries may send them to other backend servers.
func (w *Detector) tell(instance string, runs []AbortedRun) {
	contents := make([]quarantine.Fingerprint, 0, len(runs))
	for _, run := range runs {
		contents = append(contents, run.Content)
	}
	w.crashes.Inc()
	w.Quarantine.RecordCrash(w.Now(), rand.Uint64(), contents)
	w.log(instance, runs)
	w.deps.OnCrash(instance)
}

// log names what ran when the process ended: the request that ended it is among them.
func (w *Detector) log(instance string, runs []AbortedRun) {
	if !w.Log.Wants(events.BackendEnded) {
		return
	}
	parts := make([]string, 0, mostLogged)
	for _, run := range runs[:min(len(runs), mostLogged)] {
		parts = append(parts, run.ID+"="+run.Content.String())
	}
	w.Log.Event(events.BackendEnded, events.F("instance", instance), events.F("runs", len(runs)), events.F("contents", strings.Join(parts, " ")))
}
