package runner

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// recordOutcome records the outcome of a run for the roll-out of the backend server's
// version.
func (run *routedRun) recordOutcome(reply *backend.Reply, start int64, took time.Duration, slowdown int) {
	failed, counts := classifyReply(reply)
	if !counts {
		return
	}
	run.runner.enforcer.Record(rollout.Outcome{
		Route: run.call.Kind, Failed: failed, Duration: took, StartSlowdown: uint32(max(slowdown, 0)),
		PeakSlowdown: uint32(max(slowdown, run.runner.slowdowns.maxSince(start))), Cold: run.runner.cold.Load(),
	})
}

// slowdownHistorySize is the number of slowdown reports that are kept. It exceeds the number
// that arrives during a run of one second, at ten responses a second plus health checks.
const slowdownHistorySize = 64

// slowdownHistory is a ring buffer of the latest slowdown reports of the backend server.
type slowdownHistory struct {
	mu      sync.Mutex
	samples [slowdownHistorySize]slowdownSample
	next    int
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

// maxSince returns the highest slowdown reported since a time, in percent; 0: none was
// reported.
func (s *slowdownHistory) maxSince(since int64) (percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range s.samples {
		if sample.at >= since {
			percent = max(percent, sample.percent)
		}
	}
	return percent
}

// classifyReply returns whether a run failed, and whether it counts as evidence on the
// version: one that the caller cancelled, that exceeded its deadline or that never
// started does not.
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
