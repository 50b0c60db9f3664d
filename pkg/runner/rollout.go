package runner

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// recordOutcome counts how a run ended, as evidence on its version.
func (run *routedRun) recordOutcome(reply *backend.Reply, began int64, took time.Duration, slowdown int) {
	failed, counts := classifyReply(reply)
	if !counts {
		return
	}
	run.runner.trial.Record(rollout.Outcome{
		Route: run.call.Kind, Failed: failed, Run: took, Slowdown: uint32(max(slowdown, 0)),
		Worst: uint32(max(slowdown, run.runner.slowdowns.maxSince(began))), Cold: run.runner.cold.Load(),
	})
}

// slowdownHistorySize is how many words on the backend server's speed are kept: more than
// come during a run of a second with ten answers a second beside the checks.
const slowdownHistorySize = 64

// slowdownHistory are the last words on the backend server's speed.
type slowdownHistory struct {
	mu   sync.Mutex
	samples [slowdownHistorySize]slowdownSample
	next int
}

type slowdownSample struct {
	at      int64
	percent int
}

func (s *slowdownHistory) record(now int64, percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples[s.next] = slowdownSample{now, percent}
	s.next = (s.next + 1) % slowdownHistorySize
}

// maxSince is the highest slowdown that was told since a time; 0: none was.
func (s *slowdownHistory) maxSince(since int64) (percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, word := range s.samples {
		if word.at >= since {
			percent = max(percent, word.percent)
		}
	}
	return percent
}

// classifyReply says whether a run failed, and whether it tells anything of the version:
// one that the caller left, whose time was over, or that never began, does not.
func classifyReply(reply *backend.Reply) (failed, counts bool) {
	if reply.Answer != nil {
		return reply.Answer.Status >= 500, true
	}
	switch reply.Refusal.Kind {
	case errkind.BackendFailed, errkind.AnswerCut:
		return true, reply.Offered
	}
	return false, false
}
