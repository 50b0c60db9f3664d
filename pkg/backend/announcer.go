package backend

import "context"

// Announcer takes what a backend server announces of itself. A call returns
// when the announcement may be acknowledged.
type Announcer interface {
	Heartbeat(ctx context.Context, h Heartbeat)
	// Depart says that an incarnation leaves, or has ended.
	Depart(ctx context.Context, of Incarnation)
	// Foreign takes an announcement that cannot be understood: who it names, and why.
	Foreign(id string, why error)
}
