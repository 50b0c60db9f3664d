package forward

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// countingRuns count the refused calls that they are told of.
type countingRuns struct {
	repeatingRuns
	refused int
}

func (c *countingRuns) CallRefused() { c.refused++ }

// TestTheRunnerIsToldOfRefusedCalls, not of requests of callers that are refused, nor
// of calls that failed for another reason.
func TestTheRunnerIsToldOfRefusedCalls(t *testing.T) {
	backend := &fakeRunner{answer: refuses(errkind.Overloaded, false)}
	f, runs := newForwarder(backend), &countingRuns{}
	f.runs = runs
	f.Forward(t.Context(), request("/read/"))
	test.Eq(t, 0, runs.refused)
	f.called.note("read", wire.OriginService)
	f.Forward(t.Context(), request("/read/"))
	test.Eq(t, 1, runs.refused)
	backend.answer = answers(500)
	f.Forward(t.Context(), request("/read/"))
	test.Eq(t, 1, runs.refused)
}
