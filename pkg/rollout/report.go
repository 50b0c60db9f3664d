package rollout

import "time"

// Outcome is how one run at a backend server ended, as its executor saw it. Runs that
// the executor itself ended, since their caller had left or their time was over, are
// none: they say nothing of the version.
type Outcome struct {
	Route string
	// Failed is true for an answer of 500 or above and for one that broke off.
	Failed bool
	// Duration is how long it took.
	Duration time.Duration
	// StartSlowdown is how long work took at the backend server when the run began, in
	// percent of what is usual there; 0: not known.
	StartSlowdown uint32
	// PeakSlowdown is the highest slowdown that was told while it ran, in percent; 0: not
	// known. Runs that a slow spell of a neighbour overtook are weighed by it, so that
	// a spell's first runs, all at one backend server, are no evidence.
	PeakSlowdown uint32
	// Cold is true for a run that began while the backend server was cold.
	Cold bool
}

// Report is what the executor of a backend server tells those who decide, since the
// order that it names. Counts only grow within one process of the daemon.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Order   uint64
	VM      string
	Version string
	// Process tells the processes of one VM's daemon apart, Seq orders the reports of
	// one process.
	Process uint64
	Seq     uint32
	// Plan is the revision of the plan that the executor obeys; InFlight counts the
	// requests at its backend server and gate that it has not answered.
	Plan     uint64
	InFlight uint32
	Routes   []RouteCounts
}

// RouteCounts are the runs of one route.
type RouteCounts struct {
	_        struct{} `cbor:",toarray"`
	Route    string
	Runs     uint32
	Failures uint32
	// DurationCounts counts the runs that did not fail and did not begin cold by their time at
	// usual speed, in the steps of timeStep. Part of the
	// answers of a version may be slow, which a mean hides.
	DurationCounts []uint32
}

// Verdict is what the evidence says of the new version.
type Verdict struct {
	// Bad is true once it is told that the version is worse than the old ones.
	Bad bool
	// EnoughRuns is true once each route with requests has shown enough runs to move on.
	EnoughRuns bool
	// Cause names the route, the figures and the test, for the log and for operators.
	Cause string
}
