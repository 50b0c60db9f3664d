package runner

import (
	"strings"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// Guard is what a roll-out lets the backend server run.
type Guard struct {
	// Traffic says which versions may run requests; nil: all.
	Traffic *rollout.Traffic
	// Revision is that of the plan that Traffic follows.
	Revision uint64
	// Why is set where the backend server may run nothing, whatever Traffic says.
	Why string
	// Instance is the incarnation that the guard was made for; another one runs nothing
	// until it was looked at. Empty: any may.
	Instance string
}

// SetGuard puts a guard in force, at once for all that is not handed over yet: what
// was handed over before counts as in flight from here on, until it has ended.
func (r *Runner) SetGuard(g *Guard) { r.guard.Store(g) }

// Barred says why a roll-out lets the backend server run nothing; empty: it lets it.
func (r *Runner) Barred() string {
	instance, _ := r.lifecycle.Current()
	return r.barred(instance)
}

func (r *Runner) barred(instance string) string {
	g := r.guard.Load()
	if g == nil {
		return ""
	}
	if g.Why != "" {
		return g.Why
	}
	if g.Instance != "" && g.Instance != instance {
		return "the backend server has just been replaced"
	}
	if g.Traffic == nil {
		return ""
	}
	version := r.lifecycle.Version()
	if version == "" {
		// It may be one that must run nothing; its next heartbeat tells.
		return "a roll-out is known, and the backend server has not said its version yet"
	}
	if !g.Traffic.Admits(version, r.Settings.VM.ID) {
		return "the roll-out lets version " + version + " run nothing here"
	}
	return ""
}

// record counts how a run ended, as evidence on its version.
func (run *routedRun) record(reply *backend.Reply, began int64, took time.Duration, slowdown int) {
	r := run.owner
	g := r.guard.Load()
	if r.recorder == nil || g == nil || g.Traffic == nil {
		return
	}
	failed, counts := verdictOf(reply)
	if !counts {
		return
	}
	r.countOutcome(run.call.Service, failed)
	r.recorder.Note(rollout.Outcome{
		Route: run.call.Kind, Failed: failed, Run: took, Slowdown: uint32(max(slowdown, 0)),
		Worst: uint32(max(slowdown, r.slowdowns.worst(began))), Cold: r.cold.Load(),
	})
}

// slowdownsKept is how many words on the backend server's speed are kept: more than
// come during a run of a second with ten answers a second beside the checks.
const slowdownsKept = 64

// slowdowns are the last words on the backend server's speed.
type slowdowns struct {
	mu   sync.Mutex
	ring [slowdownsKept]slowdownWord
	next int
}

type slowdownWord struct {
	at      int64
	percent int
}

func (s *slowdowns) note(now int64, percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring[s.next] = slowdownWord{now, percent}
	s.next = (s.next + 1) % slowdownsKept
}

// worst is the highest slowdown that was told since a time; 0: none was.
func (s *slowdowns) worst(since int64) (percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, word := range s.ring {
		if word.at >= since {
			percent = max(percent, word.percent)
		}
	}
	return percent
}

// verdictOf says whether a run failed, and whether it tells anything of the version:
// one that the caller left, whose time was over, or that never began, does not.
func verdictOf(reply *backend.Reply) (failed, counts bool) {
	if reply.Answer != nil {
		return reply.Answer.Status >= 500, true
	}
	switch reply.Refusal.Kind {
	case errkind.BackendFailed, errkind.AnswerCut:
		return true, reply.Offered
	}
	return false, false
}

// countOutcome counts a run of the backend server's version for the metrics.
func (r *Runner) countOutcome(service string, failed bool) {
	outcome := "worked"
	if failed {
		outcome = "failed"
	}
	version := strings.Map(labelRune, r.lifecycle.Version())
	r.Metrics.GetOrCreateCounter(`rushramp_rollout_runs_total{service="` + service + `",version="` + version + `",outcome="` + outcome + `"}`).Inc()
}

// labelRune keeps a version, which the backend server says, from ending the label that
// it stands in.
func labelRune(c rune) rune {
	if c == '"' || c == '\\' || c < ' ' {
		return '_'
	}
	return c
}
