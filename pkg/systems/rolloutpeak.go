package systems

import "time"

// peakWindow is the length of one window of an inFlightPeak. It spans several seconds,
// since the requests in flight of a service with little traffic vary from second to
// second.
const peakWindow = 5 * time.Second

// inFlightPeak is the highest number of requests in flight that a backend server has
// reported in the current and in the previous window.
type inFlightPeak struct {
	// windowStart is when the current window began, in nanoseconds.
	windowStart       int64
	current, previous int
}

// add returns the peak after a report of inFlight requests.
func (p inFlightPeak) add(now int64, inFlight int) inFlightPeak {
	if now-p.windowStart > int64(peakWindow) {
		p.windowStart, p.previous, p.current = now, p.current, 0
	}
	p.current = max(p.current, inFlight)
	return p
}

// peak returns the highest number of requests in flight, or 0 without a recent report.
func (p inFlightPeak) peak(now int64) int {
	if now-p.windowStart > int64(2*peakWindow) {
		return 0
	}
	return max(p.current, p.previous)
}
