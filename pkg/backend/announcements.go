package backend

import "context"

// AnnouncementHandler processes what a backend server announces about itself. Each
// method returns once the announcement may be acknowledged.
type AnnouncementHandler interface {
	// HandleHeartbeat processes a heartbeat.
	HandleHeartbeat(ctx context.Context, h Heartbeat)
	// HandleDeparture processes the message that an incarnation is leaving or has ended.
	HandleDeparture(ctx context.Context, incarnation Incarnation)
	// HandleOtherService processes a valid heartbeat that names another service than that of
	// the daemon.
	HandleOtherService(instanceID string)
	// HandleInvalid processes an announcement that cannot be parsed: instanceID is the
	// instance that it names, err the reason.
	HandleInvalid(instanceID string, err error)
}
