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

// TestARequestDoesNotOutliveASuspension: one that waited at the gate while the VM was
// suspended for longer than it had is refused as not run, and one that comes after is
// run.
func TestARequestDoesNotOutliveASuspension(t *testing.T) {
	e := newCrashFixture(t)
	var vm *clock.Manual
	e.runner.Clock, vm = clock.NewManual()
	e.runner.gate.SetSlots(1)
	e.startAndWait("runs")
	waits := routedCall("waits")
	waits.Remaining = 5 * time.Second
	e.runner.Execute(waits, nil, func(r call.Result) { e.results <- r })
	vm.Suspend(10 * time.Second)
	e.proceed <- struct{}{}
	refused := 0
	for range 2 {
		if got := <-e.results; got.Refusal != nil {
			refused++
			test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		}
	}
	must.Eq(t, 1, refused)
	e.startAndWait("after")
	e.proceed <- struct{}{}
	must.NotNil(t, (<-e.results).Answer)
}
