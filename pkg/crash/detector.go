// Package crash detects that the process of a backend server has ended while it ran
// requests, and reports these requests to the quarantine. Source:
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
	// abortTimeout bounds the time in which all runs must be reported as aborted after a
	// crash. The operating system closes all connections of the ended process at once, but
	// their readers do not notice it at the same time. abortPollInterval is the time between
	// two checks.
	abortTimeout      = 30 * time.Millisecond
	abortPollInterval = 2 * time.Millisecond
	// dialTimeout bounds the check whether the backend server listens. Within a VM a refusal
	// is immediate; a timeout means that a process listens but is too busy to accept.
	dialTimeout = 50 * time.Millisecond
	// maxLoggedRuns is the maximum number of runs in the log line of a crash.
	maxLoggedRuns = 16
)

// AbortedRun is a request whose connection to the backend server ended before the answer.
type AbortedRun struct {
	// ID is the id of the request, for the log.
	ID string
	// Content is the fingerprint of the request's content.
	Content quarantine.Fingerprint
}

// Deps are the dependencies of a Detector besides the common ones.
type Deps struct {
	// Running returns the number of requests at the backend server, including those
	// that have just been aborted.
	Running func() int
	// Instance returns the id of the backend server's process. leaving is true if the
	// process has announced that it will end, so that its end is planned.
	Instance func() (instance string, leaving bool)
	// OnCrash is called when a process has ended unexpectedly.
	OnCrash func(instance string)
}

// Detector finds out whether a run was aborted because the backend server's process ended.
// In that case the backend server refuses new connections and all of its runs are aborted.
// A refusal alone is not enough: a backend server at its connection limit also refuses
// connections, but its other runs go on. A Detector is safe for concurrent use.
type Detector struct {
	*common.Common
	deps    Deps
	crashes *metrics.Counter

	mu sync.Mutex
	// aborted holds the runs that the current check covers; current is nil if no check
	// is in progress.
	aborted []AbortedRun
	current *check
}

// check is one check whether the process has ended. ended is set before done is closed.
type check struct {
	done  chan struct{}
	ended bool
}

// NewDetector returns a Detector for the backend server in the settings.
func NewDetector(c *common.Common, deps Deps) *Detector {
	return &Detector{Common: c, deps: deps, crashes: c.Metrics.GetOrCreateCounter("rushramp_backend_crashes_total")}
}

// ReportAborted reports an aborted run and returns whether the backend server's process has
// ended. It waits for the check, at most about dialTimeout and abortTimeout together; a
// process that accepts connections is recognised at once.
func (d *Detector) ReportAborted(run AbortedRun) (ended bool) {
	d.mu.Lock()
	d.aborted = append(d.aborted, run)
	if d.current == nil {
		d.current = &check{done: make(chan struct{})}
		go d.runCheck(d.current)
	}
	c := d.current
	d.mu.Unlock()
	<-c.done
	return c.ended
}

func (d *Detector) runCheck(c *check) {
	instance, leaving := d.deps.Instance()
	c.ended = !leaving && d.refusesConnections() && d.allAborted()
	d.mu.Lock()
	runs := d.aborted
	d.aborted, d.current = nil, nil
	d.mu.Unlock()
	if c.ended {
		d.report(instance, runs)
	}
	close(c.done)
}

// refusesConnections reports whether no process listens on the backend server's address.
func (d *Detector) refusesConnections() bool {
	c, err := netdial.New(dialTimeout, 0).DialContext(context.Background(), "tcp", d.Settings.BackendServer.Address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// allAborted waits until all runs are aborted. It returns false if one is still running
// after abortTimeout.
func (d *Detector) allAborted() bool {
	for waited := time.Duration(0); waited < abortTimeout; waited += abortPollInterval {
		d.mu.Lock()
		all := len(d.aborted) >= d.deps.Running()
		d.mu.Unlock()
		if all {
			return true
		}
		time.Sleep(abortPollInterval)
	}
	return false
}

// report records the crash and its runs. It is called before the callers of ReportAborted
// continue, so that the quarantine knows of the crash before an entry sends a run to
// another backend server.
func (d *Detector) report(instance string, runs []AbortedRun) {
	contents := make([]quarantine.Fingerprint, 0, len(runs))
	for _, run := range runs {
		contents = append(contents, run.Content)
	}
	d.crashes.Inc()
	d.Quarantine.RecordCrash(d.Now(), rand.Uint64(), contents)
	d.logCrash(instance, runs)
	d.deps.OnCrash(instance)
}

// logCrash logs the runs at the time of the crash: the request that caused it is among
// them.
func (d *Detector) logCrash(instance string, runs []AbortedRun) {
	if !d.Log.Enabled(events.BackendEnded) {
		return
	}
	parts := make([]string, 0, maxLoggedRuns)
	for _, run := range runs[:min(len(runs), maxLoggedRuns)] {
		parts = append(parts, run.ID+"="+run.Content.String())
	}
	d.Log.Event(events.BackendEnded, events.F("instance", instance), events.F("runs", len(runs)), events.F("contents", strings.Join(parts, " ")))
}
