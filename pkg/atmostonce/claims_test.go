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

// request is one request of a caller.
type request struct {
	id   int
	call *wire.Call
	// told is what the caller was told; empty while it waits.
	told string
	runs int
}

// script is a history drawn beforehand: rapid cannot draw inside the bubble
// whose clock lets background work go on.
type script struct {
	numbers []int
	at      int
}

// choose returns a number from 0 to n-1, and 0 after the end.
func (s *script) choose(n int) int {
	if s.over() {
		return 0
	}
	s.at++
	return s.numbers[s.at-1] % n
}

func (s *script) over() bool { return s.at >= len(s.numbers) }

// history plays callers, entries, executors and the store against the real
// protocol code. Executors are paused at any place: a call in transit arrives,
// and a permit is used, any number of steps later.
type history struct {
	*script
	table     *fakestore.Flaky
	executors []*Claims
	requests  []*request
	transit   []*request
	permits   []held
	keyRuns   map[string]int
}

type held struct {
	request *request
	permit  executor.Permit
}

func (hi *history) body(r *request) []byte { return []byte("body of " + r.call.Key) }

func (hi *history) newRequest() {
	r := &request{id: len(hi.requests)}
	r.call = &wire.Call{
		Service: "lizenz", Method: "POST", URI: "/activate",
		Key: []string{"a", "b"}[hi.choose(2)], Claim: wire.Claim{Generation: 1},
	}
	hi.requests = append(hi.requests, r)
	hi.transit = append(hi.transit, r)
}

func (hi *history) modes() {
	var modes []fakestore.Mode
	for range hi.choose(4) {
		modes = append(modes, fakestore.Mode(hi.choose(int(fakestore.ModeCount))))
	}
	hi.table.SetModes(modes)
}

// deliver lets an executor claim for a call in transit.
func (hi *history) deliver() {
	if len(hi.transit) == 0 {
		return
	}
	i := hi.choose(len(hi.transit))
	r := hi.transit[i]
	hi.transit = append(hi.transit[:i], hi.transit[i+1:]...)
	hi.modes()
	by := hi.executors[hi.choose(len(hi.executors))]
	permit, result := by.Claim(r.call, hi.body(r), time.Now().Add(time.Second))
	switch {
	case permit != nil:
		hi.permits = append(hi.permits, held{r, permit})
	case result.Answer != nil:
		r.tell("answered")
	case result.Refusal.Kind == errkind.KeyMoved && r.told == "":
		// The entry still waits, and tries in the next generation.
		moved := *r.call
		moved.Claim = result.NextClaim
		r.call = &moved
		hi.transit = append(hi.transit, r)
	case result.Refusal.Kind != errkind.KeyMoved:
		r.tell(result.Refusal.Ran.String())
	}
}

func (r *request) tell(what string) {
	if r.told == "" {
		r.told = what
	}
}

// use runs a call whose permit an executor holds, or finds that it is too late.
func (hi *history) use() {
	if len(hi.permits) == 0 {
		return
	}
	i := hi.choose(len(hi.permits))
	h := hi.permits[i]
	hi.permits = append(hi.permits[:i], hi.permits[i+1:]...)
	hi.modes()
	if hi.choose(4) == 0 {
		h.permit.Finish(nil, errkind.RanNo)
		h.request.tell("no")
		return
	}
	h.request.runs++
	hi.keyRuns[h.request.call.Key]++
	if hi.choose(2) == 0 {
		h.permit.Finish(&call.Answer{Status: 200, Body: []byte("done")}, errkind.RanMaybe)
		h.request.tell("answered")
	}
}

// giveUp lets the entry of a silent executor seal the key.
func (hi *history) giveUp() {
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
		r.tell("answered")
	case result.Refusal.Kind == errkind.KeyMoved:
		r.tell("no")
	default:
		r.tell(result.Refusal.Ran.String())
	}
}

// arrive applies a write that was on its way.
func (hi *history) arrive() {
	if late := hi.table.Pending(); late > 0 {
		hi.table.ApplyPending(hi.choose(late))
	}
}

// broken says which promise does not hold.
func (hi *history) broken() string {
	for key, runs := range hi.keyRuns {
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

func (hi *history) play() string {
	steps := []func(){
		hi.newRequest, hi.deliver, hi.use, hi.giveUp, hi.arrive, hi.deliver, hi.use,
		func() { time.Sleep(time.Second) },
	}
	for !hi.over() {
		steps[hi.choose(len(steps))]()
		synctest.Wait()
		if broken := hi.broken(); broken != "" {
			return broken
		}
	}
	return ""
}

// TestAtMostOnce plays histories. Voiding goes on in the background, on the
// bubble's clock.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		numbers := rapid.SliceOfN(rapid.IntRange(0, 1<<10), 60, 400).Draw(r, "script")
		broken := ""
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			table := fakestore.NewFlaky()
			h := &history{script: &script{numbers: numbers}, table: table, keyRuns: map[string]int{}}
			for i := range 2 {
				h.executors = append(h.executors, newClaims(ctx, table, fmt.Sprintf("vm-%d", i)))
			}
			broken = h.play()
			cancel()
			synctest.Wait()
		})
		must.Eq(r, "", broken)
	})
}

func keyed(body string) (*wire.Call, []byte) {
	return &wire.Call{Service: "lizenz", Method: "POST", URI: "/a", Key: "k", Claim: wire.Claim{Generation: 1}}, []byte(body)
}

func soon() time.Time { return time.Now().Add(time.Second) }

func TestARepeatGetsTheFirstAnswer(t *testing.T) {
	c := newClaims(context.Background(), fakestore.New(), "vm")
	request, body := keyed("x")
	permit, _ := c.Claim(request, body, soon())
	must.NotNil(t, permit)
	_, during := c.Claim(request, body, soon())
	test.Eq(t, errkind.KeyInProgress, during.Refusal.Kind)
	test.Eq(t, errkind.RanMaybe, during.Refusal.Ran)

	permit.Finish(&call.Answer{Status: 201, Body: []byte("licence 7")}, errkind.RanMaybe)
	var after call.Result
	for after.Answer == nil {
		_, after = c.Claim(request, body, soon())
	}
	test.Eq(t, "licence 7", string(after.Answer.Body))

	other, otherBody := keyed("y")
	_, reused := c.Claim(other, otherBody, soon())
	test.Eq(t, errkind.KeyReused, reused.Refusal.Kind)
}

func TestALostAnswerIsReadBack(t *testing.T) {
	scenarios := []struct {
		name  string
		modes []fakestore.Mode
		runs  bool
	}{
		{"the write took effect", []fakestore.Mode{fakestore.ModeLoseAnswer}, true},
		{"it had no effect", []fakestore.Mode{fakestore.ModeFail}, false},
		{"it is still on its way", []fakestore.Mode{fakestore.ModeDelay}, false},
		{"and the read-back fails, too", []fakestore.Mode{fakestore.ModeLoseAnswer, fakestore.ModeFail}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c := newClaims(ctx, fakestore.NewFlaky(s.modes...), "vm")
			request, body := keyed("x")
			permit, result := c.Claim(request, body, soon())
			test.Eq(t, s.runs, permit != nil)
			if !s.runs {
				test.Eq(t, errkind.StoreUnavailable, result.Refusal.Kind)
				test.Eq(t, errkind.RanNo, result.Refusal.Ran)
			}
		})
	}
}

func TestStoreDownIsRefusedAtOnceAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New()
		s.SetFaults(fakestore.Faults{Down: true})
		ctx, cancel := context.WithCancel(context.Background())
		c := newClaims(ctx, s, "vm")
		request, body := keyed("x")
		_, first := c.Claim(request, body, soon())
		test.Eq(t, errkind.StoreUnavailable, first.Refusal.Kind)
		test.Eq(t, errkind.RanNo, first.Refusal.Ran)

		// While it is known to be down, nobody waits for it, and it is spared.
		before := s.Writes()
		for range 100 {
			_, next := c.Claim(request, body, soon())
			test.Eq(t, errkind.StoreUnavailable, next.Refusal.Kind)
		}
		test.Eq(t, before, s.Writes())

		s.SetFaults(fakestore.Faults{})
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		request.Key = "other"
		permit, _ := c.Claim(request, body, soon())
		test.NotNil(t, permit)
	})
}

func TestClaimsThatMeetGoInOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New()
		s.SetFaults(fakestore.Faults{Delay: 10 * time.Millisecond})
		c := newClaims(context.Background(), s, "vm")
		done := make(chan bool)
		const calls = 50
		for i := range calls {
			go func() {
				request, body := keyed("x")
				request.Key = fmt.Sprint(i)
				permit, _ := c.Claim(request, body, soon())
				done <- permit != nil
			}()
		}
		for range calls {
			test.True(t, <-done)
		}
		test.LessEq(t, 3, s.Writes())
	})
}

func TestSweepDeletesOnlyWhatIsSettledAndOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New()
		c := newClaims(context.Background(), s, "vm")
		put := func(key string, state State, age time.Duration) {
			value, err := encode(Row{Generation: 1, State: state, At: time.Now().Add(-age)})
			must.NoError(t, err)
			_, err = s.Batch(context.Background(), []store.Write{{Key: RowPrefix + key, Value: value}})
			must.NoError(t, err)
		}
		old := 5 * c.ttl
		// Sweeps begin anywhere; keys that sort last are behind each beginning.
		put("zz-finished", Finished, old)
		put("zz-sealed", Sealed, old)
		put("zz-claimed", Claimed, old)
		put("zz-young", Finished, c.ttl)
		deleted, err := c.Sweep(context.Background())
		must.NoError(t, err)
		test.Eq(t, 2, deleted)
		left, err := s.Scan(context.Background(), RowPrefix, "", 10)
		must.NoError(t, err)
		must.Len(t, 2, left)
		test.Eq(t, RowPrefix+"zz-claimed", left[0].Key)
		test.Eq(t, RowPrefix+"zz-young", left[1].Key)
	})
}
