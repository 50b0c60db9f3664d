package atmostonce

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/executor"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/wire"
)

func newClaims(ctx context.Context, table store.Table, vm string) *Claims {
	s := settings.Default()
	s.VM.ID = vm
	return NewClaims(ctx, common.NewCommon(events.Discard(), &s), table)
}

// request is a request of a caller.
type request struct {
	id   int
	call *wire.Call
	// told is "answered", or the Ran of the refusal that the caller received; empty while
	// the caller waits.
	told string
	// runs counts how often a backend server ran the call.
	runs int
}

// script is a list of random numbers that is drawn before the test, because rapid cannot
// draw inside a synctest bubble.
type script struct {
	numbers []int
	at      int
}

// choose returns the next number, modulo n; 0 after the end.
func (s *script) choose(n int) int {
	if s.atEnd() {
		return 0
	}
	s.at++
	return s.numbers[s.at-1] % n
}

func (s *script) atEnd() bool { return s.at >= len(s.numbers) }

// history simulates callers, entries, executors and the store around the code under test.
// Executors may pause anywhere: any number of steps may pass before a call in transit
// arrives or a permit is used.
type history struct {
	*script
	table      *fakestore.Flaky
	executors  []*Claims
	requests   []*request
	inTransit  []*request
	permits    []unusedPermit
	runsPerKey map[string]int
}

// unusedPermit is the permit of an executor for a request that has not run yet.
type unusedPermit struct {
	request *request
	permit  executor.Permit
}

func (hi *history) body(r *request) []byte { return []byte("body of " + r.call.Key) }

// newRequest adds a request of a caller, whose first call is in transit.
func (hi *history) newRequest() {
	r := &request{id: len(hi.requests)}
	r.call = &wire.Call{
		Service: "lizenz", Method: "POST", URI: "/activate",
		Key: []string{"a", "b"}[hi.choose(2)], Claim: wire.Claim{Generation: 1},
	}
	hi.requests = append(hi.requests, r)
	hi.inTransit = append(hi.inTransit, r)
}

// modes chooses how the store handles the next requests, three at most.
func (hi *history) modes() {
	var modes []fakestore.Mode
	for range hi.choose(4) {
		modes = append(modes, fakestore.Mode(hi.choose(int(fakestore.ModeCount))))
	}
	hi.table.SetModes(modes)
}

// deliver lets an executor claim for a call in transit.
func (hi *history) deliver() {
	if len(hi.inTransit) == 0 {
		return
	}
	i := hi.choose(len(hi.inTransit))
	r := hi.inTransit[i]
	hi.inTransit = append(hi.inTransit[:i], hi.inTransit[i+1:]...)
	hi.modes()
	by := hi.executors[hi.choose(len(hi.executors))]
	permit, result := by.Claim(r.call, hi.body(r), time.Now().Add(time.Second))
	switch {
	case permit != nil:
		hi.permits = append(hi.permits, unusedPermit{r, permit})
	case result.Answer != nil:
		r.recordTold("answered")
	case result.Refusal.Kind == errkind.KeyMoved && r.told == "":
		// The entry still waits, and tries again in the next generation.
		moved := *r.call
		moved.Claim = result.NextClaim
		r.call = &moved
		hi.inTransit = append(hi.inTransit, r)
	case result.Refusal.Kind != errkind.KeyMoved:
		r.recordTold(result.Refusal.Ran.String())
	}
}

// recordTold records what the caller is told, unless it was told something before.
func (r *request) recordTold(what string) {
	if r.told == "" {
		r.told = what
	}
}

// runPermit runs a call whose permit an executor holds, or voids the permit because the
// call's deadline has passed.
func (hi *history) runPermit() {
	if len(hi.permits) == 0 {
		return
	}
	i := hi.choose(len(hi.permits))
	h := hi.permits[i]
	hi.permits = append(hi.permits[:i], hi.permits[i+1:]...)
	hi.modes()
	if hi.choose(4) == 0 {
		h.permit.Finish(nil, errkind.RanNo)
		h.request.recordTold("no")
		return
	}
	h.request.runs++
	hi.runsPerKey[h.request.call.Key]++
	if hi.choose(2) == 0 {
		h.permit.Finish(&call.Answer{Status: 200, Body: []byte("done")}, errkind.RanMaybe)
		h.request.recordTold("answered")
	}
}

// sealOne lets an entry that gets no result from its executor seal the key.
func (hi *history) sealOne() {
	var open []*request
	for _, r := range hi.requests {
		if r.told == "" {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return
	}
	r := open[hi.choose(len(open))]
	hi.modes()
	result := hi.executors[0].Seal(r.call, hi.body(r), errkind.New(errkind.LinkLost, "silent"))
	switch {
	case result.Answer != nil:
		r.recordTold("answered")
	case result.Refusal.Kind == errkind.KeyMoved:
		r.recordTold("no")
	default:
		r.recordTold(result.Refusal.Ran.String())
	}
}

// applyLateWrite applies one of the writes that the store delayed.
func (hi *history) applyLateWrite() {
	if late := hi.table.Pending(); late > 0 {
		hi.table.ApplyPending(hi.choose(late))
	}
}

// violation returns a description of a violated guarantee, or "".
func (hi *history) violation() string {
	for key, runs := range hi.runsPerKey {
		if runs > 1 {
			return fmt.Sprintf("key %s ran %d times", key, runs)
		}
	}
	for _, r := range hi.requests {
		if r.told == "no" && r.runs > 0 {
			return fmt.Sprintf("request %d was told no and ran", r.id)
		}
	}
	return ""
}

// play runs random steps until the script ends or a guarantee is violated, and returns the
// violation, or "".
func (hi *history) play() string {
	steps := []func(){
		hi.newRequest, hi.deliver, hi.runPermit, hi.sealOne, hi.applyLateWrite, hi.deliver, hi.runPermit,
		func() { time.Sleep(time.Second) },
	}
	for !hi.atEnd() {
		steps[hi.choose(len(steps))]()
		synctest.Wait()
		if violation := hi.violation(); violation != "" {
			return violation
		}
	}
	return ""
}

// TestAtMostOnce simulates random histories and checks after each step that no key ran
// twice, and that no caller was told "no" for a call that ran. Claims are voided in the
// background, on the clock of the synctest bubble.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		numbers := rapid.SliceOfN(rapid.IntRange(0, 1<<10), 60, 400).Draw(r, "script")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			table := fakestore.NewFlaky()
			h := &history{script: &script{numbers: numbers}, table: table, runsPerKey: map[string]int{}}
			for i := range 2 {
				h.executors = append(h.executors, newClaims(ctx, table, fmt.Sprintf("vm-%d", i)))
			}
			violation = h.play()
			cancel()
			synctest.Wait()
		})
		must.Eq(r, "", violation)
	})
}

func keyedCall(body string) (*wire.Call, []byte) {
	return &wire.Call{Service: "lizenz", Method: "POST", URI: "/a", Key: "k", Claim: wire.Claim{Generation: 1}}, []byte(body)
}

func nextSecond() time.Time { return time.Now().Add(time.Second) }

func TestARepeatGetsTheFirstAnswer(t *testing.T) {
	c := newClaims(context.Background(), fakestore.New(), "vm")
	request, body := keyedCall("x")
	permit, _ := c.Claim(request, body, nextSecond())
	must.NotNil(t, permit)
	_, during := c.Claim(request, body, nextSecond())
	test.Eq(t, errkind.KeyInProgress, during.Refusal.Kind)
	test.Eq(t, errkind.RanMaybe, during.Refusal.Ran)

	permit.Finish(&call.Answer{Status: 201, Body: []byte("licence 7")}, errkind.RanMaybe)
	var after call.Result
	for after.Answer == nil {
		_, after = c.Claim(request, body, nextSecond())
	}
	test.Eq(t, "licence 7", string(after.Answer.Body))

	other, otherBody := keyedCall("y")
	_, reused := c.Claim(other, otherBody, nextSecond())
	test.Eq(t, errkind.KeyReused, reused.Refusal.Kind)
}

func TestALostAnswerIsReadBack(t *testing.T) {
	cases := []struct {
		name  string
		modes []fakestore.Mode
		runs  bool
	}{
		{"the write took effect", []fakestore.Mode{fakestore.ModeLoseAnswer}, true},
		{"the write had no effect", []fakestore.Mode{fakestore.ModeFail}, false},
		{"the write is delayed", []fakestore.Mode{fakestore.ModeDelay}, false},
		{"the write took effect, and the read-back fails", []fakestore.Mode{fakestore.ModeLoseAnswer, fakestore.ModeFail}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c := newClaims(ctx, fakestore.NewFlaky(tc.modes...), "vm")
			request, body := keyedCall("x")
			permit, result := c.Claim(request, body, nextSecond())
			test.Eq(t, tc.runs, permit != nil)
			if !tc.runs {
				test.Eq(t, errkind.StoreUnavailable, result.Refusal.Kind)
				test.Eq(t, errkind.RanNo, result.Refusal.Ran)
			}
		})
	}
}

func TestClaimsAreRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fakestore.New()
		table.SetFaults(fakestore.Faults{Down: true})
		ctx, cancel := context.WithCancel(context.Background())
		c := newClaims(ctx, table, "vm")
		request, body := keyedCall("x")
		_, first := c.Claim(request, body, nextSecond())
		test.Eq(t, errkind.StoreUnavailable, first.Refusal.Kind)
		test.Eq(t, errkind.RanNo, first.Refusal.Ran)

		// While the store is known to be down, claims are refused without a request.
		before := table.Writes()
		for range 100 {
			_, next := c.Claim(request, body, nextSecond())
			test.Eq(t, errkind.StoreUnavailable, next.Refusal.Kind)
		}
		test.Eq(t, before, table.Writes())

		table.SetFaults(fakestore.Faults{})
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		request.Key = "other"
		permit, _ := c.Claim(request, body, nextSecond())
		test.NotNil(t, permit)
	})
}

func TestConcurrentClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fakestore.New()
		table.SetFaults(fakestore.Faults{Delay: 10 * time.Millisecond})
		c := newClaims(context.Background(), table, "vm")
		done := make(chan bool)
		const calls = 50
		for i := range calls {
			go func() {
				request, body := keyedCall("x")
				request.Key = fmt.Sprint(i)
				permit, _ := c.Claim(request, body, nextSecond())
				done <- permit != nil
			}()
		}
		for range calls {
			test.True(t, <-done)
		}
		test.LessEq(t, 3, table.Writes())
	})
}

func TestSweepDeletesOnlyOldSettledRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fakestore.New()
		c := newClaims(context.Background(), table, "vm")
		put := func(key string, state State, age time.Duration) {
			value, err := encode(Row{Generation: 1, State: state, At: time.Now().Add(-age)})
			must.NoError(t, err)
			_, err = table.Batch(context.Background(), []store.Write{{Key: RowPrefix + key, Value: value}})
			must.NoError(t, err)
		}
		old := 5 * c.ttl
		// A sweep begins at a random hexadecimal key; these keys sort after all of those.
		put("zz-finished", Finished, old)
		put("zz-sealed", Sealed, old)
		put("zz-claimed", Claimed, old)
		put("zz-young", Finished, c.ttl)
		deleted, err := c.Sweep(context.Background())
		must.NoError(t, err)
		test.Eq(t, 2, deleted)
		left, err := table.Scan(context.Background(), RowPrefix, "", 10)
		must.NoError(t, err)
		must.Len(t, 2, left)
		test.Eq(t, RowPrefix+"zz-claimed", left[0].Key)
		test.Eq(t, RowPrefix+"zz-young", left[1].Key)
	})
}
