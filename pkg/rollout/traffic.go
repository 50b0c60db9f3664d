package rollout

// Lane is one of the two sides between which a roll-out divides the requests of a
// service.
type Lane uint8

// The lanes.
const (
	// LaneOld is for requests that only the old versions may run.
	LaneOld Lane = iota
	// LaneTarget is for requests that only the new version may run.
	LaneTarget
)

// Traffic is what the hot path needs of a service's roll-out. It is safe for
// concurrent use; a change of the plan or a stop makes another one. The methods of a
// nil Traffic are those of a service without a roll-out: all versions run all.
type Traffic struct{}

// Next is the lane of the next request of a route. A request that goes on elsewhere
// after an attempt in LaneTarget goes on in LaneOld, but while switching.
func (t *Traffic) Next(route string) Lane { return LaneOld }

// Again is the lane for a further attempt of a request that had the given one.
func (t *Traffic) Again(lane Lane) Lane { return LaneOld }

// Takes is true where a backend server on a VM, of a version, may run a request of the
// lane. Entries leave out of their choice those that may not.
func (t *Traffic) Takes(lane Lane, version, vm string) bool { return true }

// Admits is true where a backend server of a version on a VM may run any request: the
// executor's guard, whatever entries believe.
func (t *Traffic) Admits(version, vm string) bool { return true }
