package runner

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// record counts how a run ended, as evidence on its version.
func (run *routedRun) record(reply *backend.Reply, began int64, took time.Duration, slowdown int) {
	failed, counts := verdictOf(reply)
	if !counts {
		return
	}
	run.owner.trial.Record(rollout.Outcome{
		Route: run.call.Kind, Failed: failed, Duration: took, StartSlowdown: uint32(max(slowdown, 0)),
		PeakSlowdown: uint32(max(slowdown, run.owner.slowdowns.worst(began))), Cold: run.owner.cold.Load(),
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
