package rollout

import "time"

// Outcome is the result of one run at a backend server, as its executor saw it. A run
// that the executor itself ended, because the caller had left or the time was over, has
// no outcome: it says nothing about the version.
type Outcome struct {
	Route string
	// Failed is true for an answer with a status of 500 or above and for one that broke
	// off.
	Failed bool
	// Duration is how long the run took.
	Duration time.Duration
	// StartSlowdown is how long work took at the backend server when the run began, in
	// percent of the time at normal speed; 0 where it is not known.
	StartSlowdown uint32
	// PeakSlowdown is the highest slowdown reported during the run, in percent as
	// StartSlowdown; 0 where it is not known. Durations are corrected by it, so that runs during
	// which a neighbour on the host slows the backend server down do not count as slow.
	PeakSlowdown uint32
	// Cold is true for a run that began before the backend server had warmed up.
	Cold bool
}

// Report holds what the executor of a backend server has counted since an order. It is
// sent to the daemons that evaluate the roll-out. Counts only grow within one process of
// the daemon.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Order is the revision of the order since which the runs are counted.
	Order   uint64
	VM      string
	Version string
	// Process identifies the process of the VM's daemon. Seq numbers the reports of one
	// process.
	Process uint64
	Seq     uint32
	// Plan is the revision of the plan that the executor follows. InFlight counts the
	// unanswered requests at its backend server and its gate.
	Plan     uint64
	InFlight uint32
	Routes   []RouteCounts
}

// RouteCounts counts the runs of one route.
type RouteCounts struct {
	_        struct{} `cbor:",toarray"`
	Route    string
	Runs     uint32
	Failures uint32
	// DurationCounts is a histogram of the normalised durations, by histogramStep, of the
	// runs that did not fail and did not begin cold. A histogram also shows where only some
	// of a version's answers are slow, which a mean hides.
	DurationCounts []uint32
}

// Verdict is what the reports say about the new version.
type Verdict struct {
	// Bad is true once a test has found the version worse than the old ones.
	Bad bool
	// EnoughRuns is true once each route with requests has had enough runs for the
	// roll-out to move on.
	EnoughRuns bool
	// Cause says why the version is bad: the route, the figures and the test, for the log
	// and for operators.
	Cause string
}
