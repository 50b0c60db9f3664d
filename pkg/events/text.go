package events

import (
	"strconv"
	"time"
)

// Milliseconds formats a duration for a log line, in milliseconds with one decimal, such
// as "1.5ms".
func Milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}
