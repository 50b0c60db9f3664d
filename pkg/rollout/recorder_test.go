package rollout

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestRecorderCountsWhileThereIsAnOrder also checks which runs count as failed and which
// durations are in the histogram.
func TestRecorderCountsWhileThereIsAnOrder(t *testing.T) {
	r := NewRecorder("vm-1", "desk", 7)
	r.Count(Outcome{Route: "a"})
	_, ok := r.Report(1, 0)
	test.False(t, ok)
	r.Begin(5, "v2")
	r.Count(Outcome{Route: "b", Duration: 80 * time.Millisecond, StartSlowdown: 200})
	r.Count(Outcome{Route: "a", Failed: true})
	r.Count(Outcome{Route: "a", Duration: time.Hour, Cold: true})
	r.Begin(5, "v2")
	got, ok := r.Report(9, 3)
	must.True(t, ok)
	must.Len(t, 2, got.Routes)
	a, b := got.Routes[0], got.Routes[1]
	test.Eq(t, []any{"vm-1", "v2", uint64(7), uint32(1), uint64(9), uint32(3)}, []any{got.VM, got.Version, got.Process, got.Seq, got.Plan, got.InFlight})
	test.Eq(t, []any{"a", uint32(2), uint32(1)}, []any{a.Route, a.Runs, a.Failures})
	test.Eq(t, make([]uint32, histogramSteps), a.DurationCounts, test.Sprint("durations of failed and cold runs do not count"))
	test.Eq(t, uint32(1), b.DurationCounts[histogramStep(40*time.Millisecond)])
	r.Begin(6, "v2")
	got, _ = r.Report(9, 0)
	test.SliceEmpty(t, got.Routes)
	r.Begin(0, "")
	_, ok = r.Report(9, 0)
	test.False(t, ok)
}

func TestRoutesBeyondMaxRoutesShareOneCount(t *testing.T) {
	r := NewRecorder("vm-1", "desk", 7)
	r.Begin(5, "v2")
	for i := range 5 * maxRoutes {
		r.Count(Outcome{Route: strconv.Itoa(i)})
	}
	got, _ := r.Report(1, -1)
	test.Len(t, maxRoutes, got.Routes)
	test.Eq(t, 0, got.InFlight)
}

func TestRecorderIsSafeForConcurrentUse(t *testing.T) {
	r := NewRecorder("vm-1", "desk", 7)
	r.Begin(5, "v2")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				r.Count(Outcome{Route: "a", Duration: time.Millisecond})
				r.Report(1, 1)
			}
		})
	}
	wg.Wait()
	got, _ := r.Report(1, 0)
	test.Eq(t, 8000, got.Routes[0].Runs)
}
