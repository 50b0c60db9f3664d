package runner

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/wire"
)

// lineReader is a log writer from which the test receives the lines.
type lineReader chan string

func (l lineReader) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// TestEachOutcomeIsLogged: runs, refusals and cancelled requests are logged with the
// state of the gate.
func TestEachOutcomeIsLogged(t *testing.T) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 1)
	lines := make(lineReader, 100)
	r.Log = events.NewLog(lines, events.Info)
	expect := func(want ...string) {
		t.Helper()
		line := <-lines
		for _, text := range want {
			test.StrContains(t, line, text)
		}
	}
	_, _ = execute(r, routedCall("runs"))
	<-h.arrived
	_, cancel := execute(r, routedCall("waits"))
	soft := routedCall("soft")
	soft.Routed.Soft = true
	_, _ = execute(r, soft)
	expect("event=508", "request=soft", "outcome=gate_busier", "ran=no", "gate=1+1/1")
	cancel()
	expect("event=509", "request=waits", "outcome=caller_gone", "ran=no")
	h.proceed <- struct{}{}
	// The response reports two slots.
	expect("event=511", "slots=2", "before=1")
	expect("event=507", "request=runs", "status=200", "instance=i-1", "gate=0+0/2")
	other := routedCall("other")
	other.Service = "other"
	_, _ = execute(r, other)
	expect("event=508", "request=other", "outcome=backend_replaced")
	lifecycle.RecordDeparture(2, backend.Departure{Incarnation: backend.Incarnation{ID: "i-1"}})
	_, _ = execute(r, routedCall("late"))
	expect("event=508", "request=late", "outcome=backend_absent")
	r.UpdateLoad("1,0,2,400")
	expect("event=510", "slowed=true", "slowdown=400")
	r.UpdateLoad("1,0,2,300")
	r.UpdateLoad("1,0,2,100")
	expect("event=510", "slowed=false", "slowdown=100")
	r.StopAccepting()
	_, _ = execute(r, &wire.Call{Routed: wire.Routed{ID: "leaving"}})
	expect("event=508", "request=leaving", "outcome=leaving")
}
