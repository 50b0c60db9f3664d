package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/clock"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// TestWaitingRequestExpiresDuringSuspension: a request that waits at the gate while the VM
// is suspended past its deadline is refused as not run. Later requests run.
func TestWaitingRequestExpiresDuringSuspension(t *testing.T) {
	f := newCrashFixture(t)
	var vm *clock.Manual
	f.runner.Clock, vm = clock.NewManual()
	f.runner.gate.SetSlots(1)
	f.startAndWait("runs")
	waiting := routedCall("waits")
	waiting.Remaining = 5 * time.Second
	f.runner.Execute(waiting, nil, func(r call.Result) { f.results <- r })
	vm.Suspend(10 * time.Second)
	f.proceed <- struct{}{}
	refused := 0
	for range 2 {
		if got := <-f.results; got.Refusal != nil {
			refused++
			test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		}
	}
	must.Eq(t, 1, refused)
	f.startAndWait("after")
	f.proceed <- struct{}{}
	must.NotNil(t, (<-f.results).Answer)
}
