package backend

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// limitReport returns the report of a response, received at the given time, to a request
// sent at the given time.
func limitReport(sentAt, receivedAt int64, values ...string) RateLimitReport {
	return RateLimitReport{Values: values, Incarnation: Incarnation{ID: "i-1"}, SentAt: sentAt, ReceivedAt: receivedAt}
}

// apply applies a report, which must be valid, and returns whether the limit changed.
func apply(t *testing.T, l *RateLimit, report RateLimitReport) bool {
	t.Helper()
	changed, err := l.Apply(report)
	must.NoError(t, err)
	return changed
}

func TestRateLimitHoldsWhileResponsesNameIt(t *testing.T) {
	l := &RateLimit{}
	test.False(t, apply(t, l, limitReport(1, 2)))
	test.True(t, apply(t, l, limitReport(3, 4, "5.8")))
	perSecond, limited := l.Limit()
	test.True(t, limited)
	test.Eq(t, 5.8, perSecond)
	test.False(t, apply(t, l, limitReport(5, 6, " 5.8 ")), test.Sprint("the same limit again"))
	test.True(t, apply(t, l, limitReport(7, 8, "2")))
	test.True(t, apply(t, l, limitReport(9, 10)))
	_, limited = l.Limit()
	test.False(t, limited)
}

// TestLateResponseDoesNotEndTheRateLimit: the backend server may have written a response
// before it named the limit, although it arrives later.
func TestLateResponseDoesNotEndTheRateLimit(t *testing.T) {
	l := &RateLimit{}
	apply(t, l, limitReport(1, 10, "5"))
	test.False(t, apply(t, l, limitReport(9, 11)))
	test.True(t, apply(t, l, limitReport(10, 12)))
}

// TestHealthResponsesEndOnlyTheLimitThatTheyName: only the responses to requests are sure to
// name the limit.
func TestHealthResponsesEndOnlyTheLimitThatTheyName(t *testing.T) {
	health := func(sentAt, receivedAt int64, values ...string) RateLimitReport {
		report := limitReport(sentAt, receivedAt, values...)
		report.FromHealthCheck = true
		return report
	}
	l := &RateLimit{}
	apply(t, l, limitReport(1, 2, "5"))
	test.False(t, apply(t, l, health(3, 4)))
	apply(t, l, health(5, 6, "5"))
	test.True(t, apply(t, l, health(7, 8)))
	apply(t, l, limitReport(9, 10, "5"))
	test.False(t, apply(t, l, health(11, 12)), test.Sprint("health responses have not named the limit since it began again"))
}

func TestInvalidRateLimitChangesNothing(t *testing.T) {
	for _, values := range [][]string{{""}, {"many"}, {"-1"}, {"NaN"}, {"Inf"}, {"1e999"}, {"5", "6"}, {"5,6"}} {
		l := &RateLimit{}
		changed, err := l.Apply(limitReport(1, 2, values...))
		test.Error(t, err, test.Sprint(values))
		test.False(t, changed)
		_, limited := l.Limit()
		test.False(t, limited)
		apply(t, l, limitReport(3, 4, "5.5"))
		changed, err = l.Apply(limitReport(5, 6, values...))
		test.Error(t, err, test.Sprint(values))
		test.False(t, changed)
		perSecond, limited := l.Limit()
		test.True(t, limited)
		test.Eq(t, 5.5, perSecond)
	}
}

func TestRateLimitEndsWithItsIncarnation(t *testing.T) {
	l := &RateLimit{}
	apply(t, l, limitReport(1, 2, "5"))
	known := limitReport(3, 4, "5")
	known.Incarnation.StartedAtMS = 70
	test.False(t, apply(t, l, known), test.Sprint("the start time of the same process has become known"))
	restarted := limitReport(3, 5)
	restarted.Incarnation.StartedAtMS = 90
	test.True(t, apply(t, l, restarted))
	_, limited := l.Limit()
	test.False(t, limited)
}
