package forward

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// transferWeight is the weight of a new transfer in the mean.
const transferWeight = 1.0 / 8

// transferTimes estimates how long the transfers of large bodies to executors take, by
// proximity. It is safe for concurrent use.
type transferTimes struct {
	mu sync.Mutex
	// perByte holds the mean time per byte in nanoseconds.
	perByte [proximity.Count]runningMean
}

// record adds a body that an executor has received.
func (t *transferTimes) record(at proximity.Level, bytes int, took time.Duration) {
	if bytes <= 0 || took < 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.perByte[at].add(float64(took)/float64(bytes), transferWeight)
}

// expected returns the expected time of the transfer of a body; 0 while none is known.
func (t *transferTimes) expected(at proximity.Level, bytes int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.perByte[at].mean * float64(bytes))
}

// recordTransfer records the time of the transfer of a large body, if the candidate has
// answered the request: the time of the attempt less the wait at the gate and the run. took is
// the time of the attempt. A body for the backend server on this VM uses no link.
func (a *attempts) recordTransfer(candidate *tables.Candidate, result *call.Result, took time.Duration) {
	answer := result.Answer
	if answer == nil || !a.hasLargeBody() || result.Server != candidate.Endpoint.VM || candidate.Endpoint.VM == a.forwarder.Settings.VM.ID {
		return
	}
	a.forwarder.transfers.record(a.proximityOf(candidate), len(a.req.Body), took-answer.Queued-answer.Run)
}
