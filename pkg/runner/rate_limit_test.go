package runner

import (
	"bytes"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
)

// limitingServer is a backend server that names a rate limit in its answers.
type limitingServer struct{ limit atomic.Value }

func (s *limitingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Rushramp-Request-Id", r.Header.Get("Rushramp-Request-Id"))
	if limit := s.limit.Load().(string); limit != "" {
		w.Header().Set("Rushramp-Rate-Limit", limit)
	}
}

// countAnswered sends soft requests one after the other, and returns how many are answered.
func countAnswered(r *Runner, requests int) (answered int) {
	for range requests {
		c := routedCall("a")
		c.Routed.Soft = true
		results, _ := execute(r, c)
		if got := <-results; got.Answer != nil {
			answered++
		}
	}
	return answered
}

// tickUntilResult ticks the runner until a request ends, and returns its result.
func tickUntilResult(r *Runner, results <-chan call.Result) call.Result {
	for {
		select {
		case result := <-results:
			return result
		case <-time.After(time.Millisecond):
			r.Tick()
		}
	}
}

// TestRunnerKeepsToTheRateLimit: the limit holds from the first answer that names it, an
// invalid one changes nothing, and the first answer without it ends it.
func TestRunnerKeepsToTheRateLimit(t *testing.T) {
	server := &limitingServer{}
	server.limit.Store("2")
	r, _ := newTestRunner(t, server, 8)
	test.Between(t, 2, countAnswered(r, 20), 4)
	test.Eq(t, 2.0, r.rateLimitGauge())
	c := routedCall("b")
	c.Remaining = 50 * time.Millisecond
	results, _ := execute(r, c)
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.Overloaded, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Positive(t, got.Stamp.StartRateMilli)

	server.limit.Store("many")
	results, _ = execute(r, routedCall("c"))
	must.NotNil(t, tickUntilResult(r, results).Answer)
	test.Eq(t, 1, r.invalidRateLimits.Get())
	test.Eq(t, 2.0, r.rateLimitGauge())

	server.limit.Store("")
	results, _ = execute(r, routedCall("d"))
	must.NotNil(t, tickUntilResult(r, results).Answer)
	test.Eq(t, 20, countAnswered(r, 20))
}

// TestRestartedRunnerKeepsToTheLimitOfTheEntries: until its backend server has answered, a
// runner uses the limit that the calls state.
func TestRestartedRunnerKeepsToTheLimitOfTheEntries(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 8)
	refused := 0
	for range 8 {
		c := routedCall("a")
		c.Routed.Soft, c.Routed.RateLimitMilli = true, 2000
		results, _ := execute(r, c)
		select {
		case <-h.arrived:
		case got := <-results:
			test.Eq(t, errkind.GateBusier, got.Refusal.Kind)
			refused++
		}
	}
	test.Between(t, 4, refused, 6)
	for range 8 {
		h.proceed <- struct{}{}
	}
}

// TestAnswersThatAnnounceADepartureAreReported, and others are not.
func TestAnswersThatAnnounceADepartureAreReported(t *testing.T) {
	var leaving atomic.Value
	r, _ := newTestRunner(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Rushramp-Request-Id", req.Header.Get("Rushramp-Request-Id"))
		w.Header().Set("Rushramp-Leaving", leaving.Load().(string))
	}), 8)
	var departed []backend.Incarnation
	r.onDeparture = func(incarnation backend.Incarnation, _ int64) { departed = append(departed, incarnation) }
	for _, value := range []string{"", "0", "yes", "1"} {
		leaving.Store(value)
		test.SliceEmpty(t, departed)
		results, _ := execute(r, routedCall("a"))
		must.NotNil(t, (<-results).Answer)
	}
	test.Eq(t, []backend.Incarnation{{ID: "i-1"}}, departed)
}

// TestInvalidRateLimitIsLoggedOnce: a backend server with a broken header answers each request
// with it.
func TestInvalidRateLimitIsLoggedOnce(t *testing.T) {
	server := &limitingServer{}
	r, _ := newTestRunner(t, server, 8)
	var out bytes.Buffer
	r.Log = events.NewLog(&out, events.Info)
	for _, limit := range []string{"many", "many", "many", "100", "many"} {
		server.limit.Store(limit)
		results, _ := execute(r, routedCall("a"))
		must.NotNil(t, (<-results).Answer)
	}
	for r.InFlight() > 0 {
		time.Sleep(time.Millisecond) // the last line is written after the result
	}
	test.Eq(t, 2, strings.Count(out.String(), "event=526"))
	test.Eq(t, 4, r.invalidRateLimits.Get())
}
