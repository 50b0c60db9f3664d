package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestLateReleaseIsIgnored: a release that was asked for before the latest renewal does not
// end the lease.
func TestLateReleaseIsIgnored(t *testing.T) {
	reachable := func(string) bool { return true }
	l := &shareLease{}
	const second = int64(time.Second)
	counter, action := l.next(1, 5*second, "a", reachable)
	test.Eq(t, "a", counter)
	test.Eq(t, actionLease, action)
	l.renew(1, minLease)
	_, action = l.next(10, 5*second, "b", reachable)
	test.Eq(t, actionRelease, action)
	const releaseAskedAt = 10
	l.renew(20, minLease)
	l.released(30, "a", releaseAskedAt)
	counter, action = l.next(31, 5*second, "b", reachable)
	test.Eq(t, "a", counter)
	test.Eq(t, actionRelease, action)
	l.released(40, "a", 31)
	counter, action = l.next(41, 5*second, "b", reachable)
	test.Eq(t, "b", counter)
	test.Eq(t, actionLease, action)
}

// TestRenewalDoesNotShortenALease: the counter keeps the longer lease of a larger fleet.
func TestRenewalDoesNotShortenALease(t *testing.T) {
	l := &shareLease{}
	l.renew(1, maxLease)
	l.renew(2, minLease)
	test.Eq(t, 1+int64(maxLease), l.until)
}
