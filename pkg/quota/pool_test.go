package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/teams"
)

const second = int64(time.Second)

// TestAPartCountsUntilItsOwnEnd however late the pool looks.
func TestAPartCountsUntilItsOwnEnd(t *testing.T) {
	p := newPool(0)
	limit := teams.Limit{Rate: 100, Burst: 1000}
	p.lend(second, offer{vm: "a", size: 0.5, stamp: second, lease: leaseLeast})
	p.lend(second, offer{vm: "b", size: 0.25, stamp: second - int64(leaseLeast)/2, lease: leaseLeast})
	granted, wait := p.take(10*second, "red", limit, TokenRequest{Count: 1000})
	// 0.5 of the limit for a whole lease and 0.25 for half of one, and both are over: what
	// was saved went with them.
	test.Eq(t, 0, granted)
	test.Eq(t, askAgain, wait)
	p.lend(10*second, offer{vm: "a", size: 1, stamp: 10 * second, lease: leaseLeast})
	granted, _ = p.take(10*second+int64(105*time.Millisecond), "red", limit, TokenRequest{Count: 1000})
	test.Eq(t, 10, granted)
}

// TestAPartOfTheFutureOrThePastIsNone: its stamp is not one that this pool gave of late.
func TestAPartOfTheFutureOrThePastIsNone(t *testing.T) {
	p := newPool(0)
	p.lend(second, offer{vm: "a", size: 1, stamp: 2 * second, lease: leaseLeast})
	p.lend(second, offer{vm: "b", size: 1, stamp: second - int64(leaseLeast), lease: leaseLeast})
	test.Eq(t, 0, p.sum)
}

// TestTokensGivenBackAreNoMoreThanThePoolMaySave.
func TestTokensGivenBackAreNoMoreThanThePoolMaySave(t *testing.T) {
	p := newPool(0)
	limit := teams.Limit{Rate: 1, Burst: 5}
	p.lend(second, offer{vm: "a", size: 1, stamp: second, lease: leaseLeast})
	p.take(second, "red", limit, TokenRequest{Returned: 100})
	granted, _ := p.take(second, "red", limit, TokenRequest{Count: 100})
	test.Eq(t, 5, granted)
}

// TestABucketThatWasForgottenHasEarnedAsMuch.
func TestABucketThatWasForgottenHasEarnedAsMuch(t *testing.T) {
	p := newPool(0)
	limit := teams.Limit{Rate: 10, Burst: 5}
	now := second
	keep := func(span time.Duration) {
		for end := now + int64(span); now < end; now += int64(renewLeast) {
			p.lend(now, offer{vm: "a", size: 1, stamp: now, lease: leaseLeast})
		}
	}
	keep(time.Second)
	p.take(now, "red", limit, TokenRequest{Count: 5})
	keep(bucketFor + time.Second)
	p.forget(now)
	test.MapEmpty(t, p.buckets)
	granted, _ := p.take(now, "red", limit, TokenRequest{Count: 100})
	test.Eq(t, 5, granted)
}
