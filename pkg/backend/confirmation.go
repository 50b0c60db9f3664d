package backend

import "time"

const (
	// maxHeartbeatDelay is the longest time that a heartbeat can be under way. One that
	// arrives later than this after the start of the daemon was sent after that start.
	maxHeartbeatDelay = 8 * time.Second
	// maxOtherServices is how many instance IDs of other services are remembered. Any writer can
	// send heartbeats, but only the instance at the address matters.
	maxOtherServices = 64
)

// isConfirmed is true if the instance with an ID may get requests: it has not announced a
// departure before the start of the daemon, and it runs the daemon's service.
func (l *Lifecycle) isConfirmed(id string) bool {
	return (l.firstStart || l.confirmedID == id) && l.runsService(id)
}

// sentAfterStart is true if the newest heartbeat of an incarnation was sent after the start of
// the daemon: it is too late to be a late one, and not the only one.
func (l *Lifecycle) sentAfterStart(now int64, incarnation Incarnation) bool {
	return now > int64(maxHeartbeatDelay) && now-l.histories[incarnation].firstAt > int64(confirmationPeriod)
}

// RecordGoodHealthCheck records a good health check, whose response names the instance ID.
// As it comes from the backend server's address itself, it takes precedence over
// heartbeats. It was made by this process of the daemon, so it proves that the instance has
// not announced a departure to an earlier one.
func (l *Lifecycle) RecordGoodHealthCheck(now int64, id string) {
	l.update(func() {
		l.confirmedID = id
		l.confirmInstanceID(now, id)
	})
}

// RecordOtherService records a heartbeat that names another service. Its sender gets no
// requests, unless another heartbeat with its ID names the service of this daemon.
func (l *Lifecycle) RecordOtherService(now int64, id string) {
	l.update(func() {
		if l.hasNamedService(id) {
			return
		}
		for old, at := range l.otherService {
			if now-at > int64(endRetention) {
				delete(l.otherService, old)
			}
		}
		if _, known := l.otherService[id]; !known && len(l.otherService) < maxOtherServices {
			l.otherService[id] = now
		}
		if l.current.ID == id && l.state == Live {
			l.state = Unconfirmed
		}
	})
}

// runsService is true if the instance with an ID runs the service of this daemon, as far as is
// known.
func (l *Lifecycle) runsService(id string) bool {
	_, other := l.otherService[id]
	return !other && (id == l.firstID || l.hasNamedService(id))
}

// hasNamedService is true if a heartbeat with the ID has named the service of this daemon.
func (l *Lifecycle) hasNamedService(id string) bool {
	for incarnation := range l.histories {
		if incarnation.ID == id {
			return true
		}
	}
	return false
}
