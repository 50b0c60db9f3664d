package backend

import (
	"math"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// RateLimit tracks the limit on its rate of requests that the current incarnation of the
// backend server names in its responses. The limit applies to the requests of all daemons
// together, for as long as responses name it. It is safe for concurrent use. Source:
// docs/design/rate-limits.md.
type RateLimit struct {
	mu    sync.Mutex
	state rateLimitState
}

// rateLimitState is what one incarnation has said of its rate limit.
type rateLimitState struct {
	incarnation Incarnation
	limited     bool
	perSecond   float64
	// namedAt is when the newest response that named the limit was received, in nanoseconds
	// of the daemon's clock.
	namedAt int64
	// namedByHealth is true once a health response has named the limit since it began.
	namedByHealth bool
}

// RateLimitReport is what one response says of the rate limit.
type RateLimitReport struct {
	// Values are the values of the header, none if the response lacks it.
	Values []string
	// Incarnation is the one that answered.
	Incarnation Incarnation
	// SentAt is when the request or health check was sent, ReceivedAt when its response was
	// received, in nanoseconds of the daemon's clock.
	SentAt, ReceivedAt int64
	// FromHealthCheck is true for the response to a health check.
	FromHealthCheck bool
}

// Apply applies a report. changed is true if the limit has begun, ended or changed. An error
// means that the value is invalid; the limit then stays as it was.
func (l *RateLimit) Apply(report RateLimitReport) (changed bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.state
	if !report.Incarnation.mayEqual(s.incarnation) {
		changed = s.limited
		*s = rateLimitState{}
	}
	if s.incarnation.StartedAtMS == 0 {
		s.incarnation = report.Incarnation
	}
	if len(report.Values) == 0 {
		if s.limited && s.isEndedBy(&report) {
			s.limited, changed = false, true
		}
		return changed, nil
	}
	perSecond, err := parseRateLimit(report.Values)
	if err != nil {
		return changed, err
	}
	if !s.limited {
		s.namedByHealth = false
	}
	changed = changed || !s.limited || s.perSecond != perSecond
	s.limited, s.perSecond, s.namedAt = true, perSecond, report.ReceivedAt
	s.namedByHealth = s.namedByHealth || report.FromHealthCheck
	return changed, nil
}

// isEndedBy reports whether a response without the header ends the limit. A response to an
// earlier request may have been under way since before the limit began. Health responses may
// lack the header although responses to requests have it.
func (s *rateLimitState) isEndedBy(report *RateLimitReport) bool {
	return report.SentAt >= s.namedAt && (!report.FromHealthCheck || s.namedByHealth)
}

// Limit returns the limit in requests per second; limited is false if there is none.
func (l *RateLimit) Limit() (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.perSecond, l.state.limited
}

// parseRateLimit parses the values of the header: one decimal number of at least 0.
func parseRateLimit(values []string) (float64, error) {
	if len(values) != 1 {
		return 0, errors.Errorf("the rate limit is named %d times", len(values))
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, errors.Errorf("the rate limit %.40q is not a decimal number of at least 0", values[0])
	}
	return perSecond, nil
}
