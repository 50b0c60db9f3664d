package link

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/grants"
	"github.com/rushramp/rushramp/pkg/linkdelay"
	"github.com/rushramp/rushramp/pkg/measure"
	"github.com/rushramp/rushramp/pkg/wire"
)

// stampingRunner refuses all calls, with a stamp as a gate makes it.
type stampingRunner struct{}

func (stampingRunner) Stamp() wire.Stamp { return wire.Stamp{Seq: 1, Limit: 4, Running: 2} }

func (r stampingRunner) Execute(_ *wire.Call, _ []byte, done func(call.Result)) func() {
	done(call.Result{Refusal: errkind.New(errkind.Overloaded, ""), Stamp: r.Stamp()})
	return func() {}
}

// TestStampsReportTheDelayOfTheLink also checks that the gate's own stamp states no delay:
// calls from the executor's VM do not use its link.
func TestStampsReportTheDelayOfTheLink(t *testing.T) {
	const delay = 300 * time.Millisecond
	_, server := connectAcks(t, wire.FeatureAcks, stampingRunner{})
	sentUS := uint64(time.Hour / time.Microsecond)
	newCall := func(id uint64, late time.Duration, remaining time.Duration) *wire.Call {
		return &wire.Call{ID: id, Remaining: remaining, SentUS: sentUS - uint64(late/time.Microsecond), WantStamp: true, Body: emptyBody()}
	}
	entry := dialRaw(t, server)
	entry.send(newCall(1, 0, time.Minute), newCall(2, 0, time.Minute))
	test.Zero(t, entry.refusal().Stamp.LinkDelayMS)
	test.Zero(t, entry.refusal().Stamp.LinkDelayMS)
	entry.send(newCall(3, delay, time.Minute))
	stamp := entry.refusal().Stamp
	test.Positive(t, stamp.LinkDelayMS)
	test.Eq(t, 2, stamp.Running)
	entry.send(newCall(4, 100*delay, delay))
	dropped := entry.refusal()
	test.Eq(t, errkind.DeadlineBeforeRun, errkind.Kind(dropped.Kind))
	test.Greater(t, uint32(2*delay.Milliseconds()), dropped.Stamp.LinkDelayMS, test.Sprint("a call that came too late tells why"))
	entry.send(&wire.Call{ID: 5, Remaining: delay, SentUS: sentUS - uint64(10*delay/time.Microsecond), Body: emptyBody()})
	test.Eq(t, wire.Stamp{}, entry.refusal().Stamp, test.Sprint("no stamp was asked for"))
}

// TestAnEntryOfThePreviousReleaseStatesNoDelay checks that links without stated times do not
// count.
func TestAnEntryOfThePreviousReleaseStatesNoDelay(t *testing.T) {
	_, server := connectAcks(t, wire.FeatureAcks, stampingRunner{})
	entry := dialRaw(t, server)
	for id := range uint64(2) {
		entry.send(&wire.Call{ID: id + 1, Remaining: time.Minute, WantStamp: true, Body: emptyBody()})
		test.Eq(t, wire.Stamp{Seq: 1, Limit: 4, Running: 2}, entry.refusal().Stamp)
	}
	// Its calls do not make the delay of others seem to be that of one sender's link.
	states := dialRaw(t, server)
	sentUS := uint64(time.Hour / time.Microsecond)
	states.send(&wire.Call{ID: 1, Remaining: time.Minute, SentUS: sentUS, Body: emptyBody()})
	states.refusal()
	states.send(&wire.Call{ID: 2, Remaining: time.Minute, SentUS: sentUS - 30e6, WantStamp: true, Body: emptyBody()})
	test.Positive(t, states.refusal().Stamp.LinkDelayMS)
}

// learnRate makes a scheduler learn a rate, in bytes per second, until now.
func learnRate(s *grants.Scheduler, now int64, rate float64) {
	const step = int64(5 * time.Millisecond)
	id := s.Add(grants.Transfer{Sender: 1, Size: 1 << 40, StartBy: 1 << 62})
	var granted, arrived int64
	for at := now - int64(time.Second); at < now; at += step {
		allowed, _ := s.Tick(at)
		for _, grant := range allowed {
			granted = grant.Offset
		}
		n := min(granted-arrived, int64(rate*time.Duration(step).Seconds()))
		if n > 0 {
			_, _ = s.Arrived(at, id, n)
			arrived += n
		}
	}
	s.Remove(id)
}

// TestStampsReportTheRateOfTheLink guards against entries that choose an executor for a body
// without knowing its rate.
func TestStampsReportTheRateOfTheLink(t *testing.T) {
	_, server := connectAcks(t, wire.FeatureAcks, stampingRunner{})
	server.grants.mu.Lock()
	learnRate(server.grants.scheduler, server.Now(), 1.25e6)
	server.grants.mu.Unlock()
	entry := dialRaw(t, server)
	entry.send(&wire.Call{ID: 1, Remaining: time.Minute, WantStamp: true, Body: emptyBody()})
	stamp := entry.refusal().Stamp
	test.Positive(t, stamp.LinkRateKB)
	test.Eq(t, kilobytes(server.grants.load().Rate), stamp.LinkRateKB)
	test.Zero(t, stamp.BodyWaitMS)
}

// TestAStampThatThePeerExpectsIsNotSentOutOfTheReserve checks that a stamp that only confirms
// the expected decay takes nothing from the reserve of the measurement budget.
func TestAStampThatThePeerExpectsIsNotSentOutOfTheReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testCommon()
		time.Sleep(time.Minute)
		var filter stampFilter
		stamp := func(seq uint64, delay uint32) wire.Stamp {
			return wire.Stamp{Seq: seq, Limit: 4, ServiceUS: 1000, LinkDelayMS: delay}
		}
		must.Eq(t, 1, filter.filter(c, true, stamp(1, 200)).Seq)
		time.Sleep(linkdelay.HalfLife)
		for c.Measure.TrySpend(c.Now(), 1, measure.LowValue) {
			// Takes what is not reserved for reports of high value.
		}
		test.Zero(t, filter.filter(c, true, stamp(2, 100)).Seq, test.Sprint("decayed as expected"))
		test.Eq(t, 3, filter.filter(c, true, stamp(3, 200)).Seq, test.Sprint("not decayed"))
	})
}

// TestStampsStateABodyLoadThatMatters: the fields of a VM with a fast link stay zero, which
// takes one byte each.
func TestStampsStateABodyLoadThatMatters(t *testing.T) {
	const mbit = 1e6 / 8
	for _, s := range []struct {
		name     string
		forecast grants.Forecast
		wait     uint32
		rate     uint32
	}{
		{"no rate", grants.Forecast{}, 0, 0},
		{"slow link", grants.Forecast{Rate: 10 * mbit}, 0, 1250},
		{"slow link, bodies wait", grants.Forecast{Rate: 10 * mbit, Wait: 400 * time.Millisecond}, 400, 1250},
		{"fast link", grants.Forecast{Rate: 200 * mbit, Wait: linkdelay.Least - 1}, 0, 0},
		{"fast link, bodies wait", grants.Forecast{Rate: 200 * mbit, Wait: 40 * time.Millisecond}, 40, 25_000},
		{"a known rate is not 0", grants.Forecast{Rate: 1}, 0, 1},
	} {
		var stamp wire.Stamp
		setBodyLoad(&stamp, s.forecast)
		test.Eq(t, wire.Stamp{BodyWaitMS: s.wait, LinkRateKB: s.rate}, stamp, test.Sprint(s.name))
	}
}

// TestAStampWithAChangedLinkIsWorthSending: entries send no further calls to a VM whose link
// has recovered if they do not learn it.
func TestAStampWithAChangedLinkIsWorthSending(t *testing.T) {
	stamp := func(delay, wait uint32) wire.Stamp {
		return wire.Stamp{Seq: 1, Limit: 4, ServiceUS: 1000, LinkDelayMS: delay, BodyWaitMS: wait, LinkRateKB: 1250}
	}
	limited := func(perSecond, tokens float64) wire.Stamp {
		out := stamp(0, 0)
		out.SetStartRate(perSecond, tokens)
		return out
	}
	for _, s := range []struct {
		name            string
		lastSent, stamp wire.Stamp
		since           time.Duration
		want            measure.Value
	}{
		{"no delay", stamp(0, 0), stamp(0, 0), 0, measure.LowValue},
		{"a delay begins", stamp(0, 0), stamp(10, 0), 0, measure.HighValue},
		{"a delay has ended", stamp(100, 0), stamp(0, 0), 0, measure.HighValue},
		{"a delay has changed little", stamp(100, 0), stamp(140, 0), 0, measure.LowValue},
		{"a delay has doubled", stamp(100, 0), stamp(200, 0), 0, measure.HighValue},
		{"a delay has decayed as the peer expects", stamp(100, 0), stamp(50, 0), linkdelay.HalfLife, measure.LowValue},
		{"a delay has not decayed", stamp(100, 0), stamp(100, 0), linkdelay.HalfLife, measure.HighValue},
		{"bodies wait", stamp(0, 0), stamp(0, 50), 0, measure.HighValue},
		{"the bodies have arrived as the peer expects", stamp(0, 400), stamp(0, 0), 400 * time.Millisecond, measure.LowValue},
		{"more bodies wait", stamp(0, 400), stamp(0, 400), 300 * time.Millisecond, measure.HighValue},
		{"a rate limit begins", stamp(0, 0), limited(5, 1), 0, measure.HighValue},
		{"a rate limit ends", limited(5, 1), stamp(0, 0), 0, measure.HighValue},
		{"a rate limit has changed", limited(5, 1), limited(6, 1), 0, measure.HighValue},
		{"the same rate limit", limited(5, 1), limited(5, 2), 0, measure.LowValue},
	} {
		test.Eq(t, s.want, stampValue(s.lastSent, s.stamp, s.since), test.Sprint(s.name))
	}
}

// TestEndedLinksDoNotCount: their senders may have had slow links of their own.
func TestEndedLinksDoNotCount(t *testing.T) {
	_, server := connectAcks(t, wire.FeatureAcks, stampingRunner{})
	entry := dialRaw(t, server)
	sentUS := uint64(time.Hour / time.Microsecond)
	entry.send(&wire.Call{ID: 1, Remaining: time.Minute, SentUS: sentUS, Body: emptyBody()}, &wire.Call{ID: 2, Remaining: time.Minute, SentUS: sentUS - 1e9, Body: emptyBody()})
	entry.refusal()
	entry.refusal()
	now := server.Now()
	must.Positive(t, server.delays.Current(now, 1))
	for len(server.Peers()) < 2 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, entry.ws.Close())
	for len(server.Peers()) > 1 {
		time.Sleep(time.Millisecond)
	}
	test.Zero(t, server.delays.Current(now, 1))
}

// TestACallCancelledBeforeItsBodyCameGetsNoStamp: the entry has forgotten the call, so that it
// would not read the stamp, and later ones would count as known to it.
func TestACallCancelledBeforeItsBodyCameGetsNoStamp(t *testing.T) {
	_, server := connectAcks(t, wire.FeatureAcks, stampingRunner{})
	entry := dialRaw(t, server)
	body, _ := wire.Split(make([]byte, wire.ChunkSize+1))
	entry.send(&wire.Call{ID: 1, Remaining: time.Minute, WantStamp: true, Body: body})
	entry.send(&wire.Cancel{ID: 1})
	refusal := entry.refusal()
	test.Eq(t, errkind.CallerGone, errkind.Kind(refusal.Kind))
	test.Eq(t, wire.Stamp{}, refusal.Stamp)
}

// TestAStampThatIsNotWantedTakesNoLocks of the scheduler of grants.
func TestAStampThatIsNotWantedTakesNoLocks(t *testing.T) {
	_, server := connectAcks(t, wire.FeatureAcks, stampingRunner{})
	entry := dialRaw(t, server)
	entry.send(&wire.Call{ID: 1, Remaining: time.Minute, Body: emptyBody()})
	entry.refusal()
	server.grants.mu.Lock()
	defer server.grants.mu.Unlock()
	must.NoError(t, entry.ws.SetReadDeadline(time.Now().Add(5*time.Second)))
	entry.send(&wire.Call{ID: 2, Remaining: time.Minute, Body: emptyBody()})
	test.Eq(t, wire.Stamp{}, entry.refusal().Stamp)
}

// TestFirstCallOfALinkIsDroppedIfItsTimeIsUp guards against a call that a full link held back for
// longer than its caller waits, and that ran because no earlier call of the link told what is
// usual. The hello frame tells the peer's clock.
func TestFirstCallOfALinkIsDroppedIfItsTimeIsUp(t *testing.T) {
	_, server := connectAcks(t, wire.FeatureAcks, stampingRunner{})
	uptime := 10 * time.Minute
	entry := dialRawWith(t, server, &wire.Hello{VM: "raw", UptimeMS: uint64(uptime/time.Millisecond) + 1})
	sentUS := func(before time.Duration) uint64 { return uint64((uptime-before)/time.Microsecond) + 1 }
	entry.send(&wire.Call{ID: 1, Remaining: 258 * time.Millisecond, SentUS: sentUS(time.Minute), Body: emptyBody()})
	refusal := entry.refusal()
	test.Eq(t, errkind.DeadlineBeforeRun, errkind.Kind(refusal.Kind))
	test.StrContains(t, refusal.Detail, "in transit")
	entry.send(&wire.Call{ID: 2, Remaining: time.Hour, SentUS: sentUS(0), Body: emptyBody()})
	test.NotEq(t, errkind.DeadlineBeforeRun, errkind.Kind(entry.refusal().Kind))
}
