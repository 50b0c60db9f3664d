package ingress

import (
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/connections"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// TestAnswersThatWaitForEarlierOnesCount guards against many short answers of pipelined requests
// that exceed the memory for callers together.
func TestAnswersThatWaitForEarlierOnesCount(t *testing.T) {
	table := connections.NewTable("test", connections.Limits{Bytes: 100_000}, metrics.NewSet())
	entry := table.NewEntry()
	must.True(t, table.Open(entry, func() {}))
	caller, server := net.Pipe()
	defer caller.Close()
	c := newPipelinedConn(server, connOptions{entry: entry, onClosed: func(int, int) {}})
	defer c.closeNow()
	held := 0
	for ; held < 16; held++ {
		result := call.Result{Answer: &call.Answer{Body: make([]byte, 10_000)}}
		c.holdAnswer(&result, 0)
		if result.Refusal != nil {
			test.Eq(t, errkind.AnswerCut, result.Refusal.Kind)
			break
		}
	}
	test.Eq(t, 6, held)
	result := call.Result{Answer: &call.Answer{Body: make([]byte, ordinaryAnswerBytes)}}
	c.holdAnswer(&result, ordinaryAnswerBytes)
	test.Nil(t, result.Refusal)
}
