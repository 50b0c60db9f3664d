package quota

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/teams"
)

const second = int64(time.Second)

// TestEachShareCountsUntilItsExpiry: the pool may advance long after the expiry.
func TestEachShareCountsUntilItsExpiry(t *testing.T) {
	p := newPool(0)
	limit := teams.Limit{Rate: 100, Burst: 1000}
	p.addShare(second, shareOffer{vm: "a", size: 0.5, counterTime: second, lease: minLease})
	p.addShare(second, shareOffer{vm: "b", size: 0.25, counterTime: second - int64(minLease)/2, lease: minLease})
	granted, retryAfter := p.take(10*second, "red", limit, TokenRequest{Count: 1000})
	// Half the limit for a whole lease and a quarter for half of one were earned, but both
	// leases have expired: without a share the bucket has no capacity.
	test.Eq(t, 0, granted)
	test.Eq(t, askInterval, retryAfter)
	p.addShare(10*second, shareOffer{vm: "a", size: 1, counterTime: 10 * second, lease: minLease})
	granted, _ = p.take(10*second+int64(105*time.Millisecond), "red", limit, TokenRequest{Count: 1000})
	test.Eq(t, 10, granted)
}

func TestOffersWithAFutureOrExpiredCounterTimeAreIgnored(t *testing.T) {
	p := newPool(0)
	p.addShare(second, shareOffer{vm: "a", size: 1, counterTime: 2 * second, lease: minLease})
	p.addShare(second, shareOffer{vm: "b", size: 1, counterTime: second - int64(minLease), lease: minLease})
	test.Eq(t, 0, p.shareSum)
}

func TestReturnedTokensAreLimitedToTheCapacity(t *testing.T) {
	p := newPool(0)
	limit := teams.Limit{Rate: 1, Burst: 5}
	p.addShare(second, shareOffer{vm: "a", size: 1, counterTime: second, lease: minLease})
	p.take(second, "red", limit, TokenRequest{Returned: 100})
	granted, _ := p.take(second, "red", limit, TokenRequest{Count: 100})
	test.Eq(t, 5, granted)
}

// TestLimitsOutOfRangeAreKept guards against conversions that overflow: a team with a very large
// burst got nothing on some processors, and one with a very low rate counted as known to have used
// its limit.
func TestLimitsOutOfRangeAreKept(t *testing.T) {
	for _, limit := range []teams.Limit{{Rate: 1, Burst: 1e308}, {Rate: 1e308, Burst: 1e308}, {Rate: 1e-300, Burst: 1 << 40}} {
		p := newPool(0)
		p.addShare(second, shareOffer{vm: "a", size: 1, counterTime: second, lease: minLease})
		p.take(second, "red", limit, TokenRequest{})
		p.buckets["red"].tokens = p.capacity(limit)
		granted, _ := p.take(second, "red", limit, TokenRequest{Count: 1000})
		test.Eq(t, 1000, granted, test.Sprint(limit))
		granted, _ = p.take(second, "red", limit, TokenRequest{Count: math.MaxUint32})
		test.Eq(t, uint32(math.MaxUint32), granted, test.Sprint(limit))
		p.historyLostAt = second
		test.False(t, p.knowsUse(second+1, limit, time.Minute), test.Sprint(limit))
		test.True(t, p.knowsUse(second+int64(time.Minute), limit, time.Minute), test.Sprint(limit))
	}
}

// TestRecreatedBucketIsCredited: a bucket that was dropped as unused starts full.
func TestRecreatedBucketIsCredited(t *testing.T) {
	p := newPool(0)
	limit := teams.Limit{Rate: 10, Burst: 5}
	now := second
	holdLease := func(duration time.Duration) {
		for end := now + int64(duration); now < end; now += int64(minRenewalInterval) {
			p.addShare(now, shareOffer{vm: "a", size: 1, counterTime: now, lease: minLease})
		}
	}
	holdLease(time.Second)
	p.take(now, "red", limit, TokenRequest{Count: 5})
	holdLease(bucketRetention + time.Second)
	p.sweep(now)
	test.MapEmpty(t, p.buckets)
	granted, _ := p.take(now, "red", limit, TokenRequest{Count: 100})
	test.Eq(t, 5, granted)
}
