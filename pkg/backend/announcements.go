package backend

import "context"

// AnnouncementHandler takes what a backend server announces of itself. A call returns
// when the announcement may be acknowledged.
type AnnouncementHandler interface {
	HandleHeartbeat(ctx context.Context, h Heartbeat)
	// HandleDeparture says that an incarnation leaves, or has ended.
	HandleDeparture(ctx context.Context, of Incarnation)
	// HandleInvalid takes an announcement that cannot be understood: who it names, and why.
	HandleInvalid(id string, why error)
}
