package systems

import "time"

// busyKeeps is how long the most requests in flight that a backend server has told of
// count: each second of a service with few requests has its peaks.
const busyKeeps = 5 * time.Second

// busy is the most requests in flight at a backend server of late, in two windows.
type busy struct {
	since        int64
	now, earlier int
}

func (b busy) with(now int64, inFlight int) busy {
	if now-b.since > int64(busyKeeps) {
		b.since, b.earlier, b.now = now, b.now, 0
	}
	b.now = max(b.now, inFlight)
	return b
}

// most is 0 where nothing was told of late.
func (b busy) most(now int64) int {
	if now-b.since > int64(2*busyKeeps) {
		return 0
	}
	return max(b.now, b.earlier)
}
