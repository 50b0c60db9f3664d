package forward

import (
	"bytes"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestAVMWithASlowLinkIsPassedOverUntilItsDelayHasGone: requests go to the other VM although
// that is busier, and the log shows the delay that the entry decided on.
func TestAVMWithASlowLinkIsPassedOverUntilItsDelayHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, free := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := newForwarder(slow, free)
		var out bytes.Buffer
		f.Log = events.NewLog(&out, events.Info)
		candidates := f.view.Service("s").Match("GET", "/").LinkedCandidates
		report := func(seq uint64, delayMS uint32) {
			candidates[0].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: seq, Limit: 4, Slowdown: 100, LinkDelayMS: delayMS})
			candidates[1].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: seq, Limit: 4, Running: 2, Slowdown: 100})
		}
		for i := range uint64(20) {
			report(1+i, 250)
			must.NotNil(t, f.Forward(t.Context(), newRequest("/read/x")).Answer)
		}
		test.Eq(t, 0, len(slow.calls))
		test.StrNotContains(t, out.String(), "link_delay")
		out.Reset()
		// The work is now known to be short, so a delay of 125 ms decides.
		time.Sleep(250 * time.Millisecond)
		must.NotNil(t, f.Forward(t.Context(), newRequest("/read/x")).Answer)
		test.Eq(t, 0, len(slow.calls))
		for i := range uint64(40) {
			report(100+i, 0)
			f.Forward(t.Context(), newRequest("/read/x"))
		}
		test.Positive(t, len(slow.calls))
		out.Reset()
		candidates[0].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 200, Limit: 4, Slowdown: 100, LinkDelayMS: 200})
		candidates[1].Endpoint.SetRunner(nil)
		time.Sleep(250 * time.Millisecond)
		f.Forward(t.Context(), newRequest("/read/x"))
		test.StrContains(t, out.String(), "age=250.0ms link_delay=100.0ms -> 200")
	})
}

// TestTheOwnLinkIsSlowIfAcksOfMostLinksAre also checks that one slow executor does not count.
func TestTheOwnLinkIsSlowIfAcksOfMostLinksAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := make([]acks.Link, 4)
		f := newForwarder()
		record := func(slowLinks int) time.Duration {
			for i := range links {
				took := testPing + acks.MaxDelay
				if i < slowLinks {
					took += 200 * time.Millisecond
				}
				f.recordOwnLink(f.Now(), &links[i], testPing, took)
			}
			return f.ownLinkDelay()
		}
		time.Sleep(time.Second)
		test.Zero(t, record(0))
		test.Zero(t, record(1))
		test.Zero(t, record(2))
		test.Eq(t, 200*time.Millisecond, record(4))
		time.Sleep(3 * time.Second)
		test.Zero(t, f.ownLinkDelay())
		for i := range links {
			f.recordOwnLink(f.Now(), &links[i], 0, time.Second)
		}
		test.Zero(t, f.ownLinkDelay(), test.Sprint("links whose round-trip times are not known"))
	})
}

// TestAcksTellOfTheOwnLink: the acks of all executors take 90 ms longer than pings.
func TestAcksTellOfTheOwnLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 90 * time.Millisecond
		newRunner := func() call.Runner {
			return &ackRunner{ackAfter: testPing + acks.MaxDelay + late, endAfter: 2 * late, result: answered(200)}
		}
		f := newAckForwarder(newRunner(), newRunner(), newRunner())
		for _, candidate := range f.view.Service("s").Match("GET", "/").LinkedCandidates {
			candidate.Load.SetMinRTT(testPing)
		}
		var requests sync.WaitGroup
		for range 12 {
			requests.Go(func() { f.Forward(t.Context(), newRequest("/read/x")) })
		}
		time.Sleep(late + testPing + acks.MaxDelay)
		synctest.Wait()
		test.Eq(t, late, f.ownLinkDelay())
		requests.Wait()
	})
}

// TestALargeBodyGoesWhereItArrivesFirst checks that a faster link outweighs more running requests.
func TestALargeBodyGoesWhereItArrivesFirst(t *testing.T) {
	narrow, wide := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
	f := newForwarder(narrow, wide)
	candidates := f.view.Service("s").Match("GET", "/").LinkedCandidates
	candidates[0].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 1, Limit: 4, Slowdown: 100, LinkRateKB: 1000})
	candidates[1].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 1, Limit: 4, Running: 3, Slowdown: 100})
	req := newRequest("/read/x")
	req.Body = make([]byte, 360_000)
	var out bytes.Buffer
	f.Log = events.NewLog(&out, events.Info)
	must.NotNil(t, f.Forward(t.Context(), req).Answer)
	test.Eq(t, 0, len(narrow.calls))
	test.Eq(t, 1, len(wide.calls))
	candidates[1].Endpoint.SetRunner(nil)
	f.Forward(t.Context(), req)
	test.StrContains(t, out.String(), " body_wait=0.0ms link_rate=1000000 ")
}

// TestAnEntryWithASlowLinkSendsToItsOwnVM also checks that others get requests only while the
// own VM has no free slot.
func TestAnEntryWithASlowLinkSendsToItsOwnVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, other := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := newForwarder(own, other)
		time.Sleep(time.Second)
		candidates := f.view.Service("s").Match("GET", "/").LinkedCandidates
		candidates[0].Endpoint.VM, candidates[1].Endpoint.VM = f.Settings.VM.ID, "other"
		f.random = zeroRandom{}
		var out bytes.Buffer
		f.Log = events.NewLog(&out, events.Info)
		send := func(seq uint64) {
			candidates[0].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: seq, Limit: 4, Running: 3, Slowdown: 100})
			candidates[1].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: seq, Limit: 4, Slowdown: 100})
			must.NotNil(t, f.Forward(t.Context(), newRequest("/read/x")).Answer)
		}
		send(1)
		test.Eq(t, 1, len(other.calls))
		links := make([]acks.Link, minOwnLinks)
		for i := range links {
			f.recordOwnLink(f.Now(), &links[i], testPing, testPing+acks.MaxDelay+200*time.Millisecond)
		}
		send(2)
		test.Eq(t, 1, len(own.calls))
		test.StrContains(t, out.String(), "own_link_delay=200.0ms -> 200")
		candidates[0].Endpoint.SetRunner(nil)
		send(3)
		test.Eq(t, 2, len(other.calls), test.Sprint("no other VM is passed over"))
	})
}

// TestOnlyGrantedBodiesCount: the bytes of others are sent with their calls.
func TestOnlyGrantedBodiesCount(t *testing.T) {
	runner := &fakeRunner{answer: answers(200)}
	f := newForwarder(runner)
	load := f.view.Service("s").Match("GET", "/").LinkedCandidates[0].Load
	send := func(size int) int64 {
		req := newRequest("/read/x")
		req.Body = make([]byte, size)
		f.Forward(t.Context(), req)
		return load.Snapshot(f.Now()).BodyBytesSinceStamp
	}
	above := f.Settings.Links.GrantBodiesAbove
	test.Zero(t, send(above))
	test.Eq(t, int64(above+1), send(above+1))
	f.Settings.Links.GrantBodiesAbove = 0
	test.Eq(t, int64(above+1), send(above+2))
}
