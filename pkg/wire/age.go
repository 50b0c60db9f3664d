package wire

import "time"

// maxAge is the longest age that a frame states: sums with a time stay in range.
const maxAge = 365 * 24 * time.Hour

// Age returns the age in a frame, in milliseconds, as a duration of up to maxAge.
func Age(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge/time.Millisecond))) * time.Millisecond
}
