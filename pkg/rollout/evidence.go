package rollout

import "time"

// Outcome is how one run at a backend server ended, as its executor saw it.
type Outcome struct {
	Route string
	// Failed is true for an answer of 500 or above and for one that broke off.
	Failed bool
	// Run is how long it took.
	Run time.Duration
	// Slowdown is how long work took at the backend server when the run began, in
	// percent of what is usual there; 0: not known.
	Slowdown uint32
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
	// LogSum and LogSquares are sums over the runs that did not fail of the natural
	// logarithm of their time in milliseconds at usual speed, and of its square.
	LogSum     float64
	LogSquares float64
}

// Recorder counts the outcomes at one backend server while its service has an order.
// It is safe for concurrent use.
type Recorder struct{}

// NewRecorder makes the recorder of the daemon process on a VM.
func NewRecorder(vm, service string, process uint64) *Recorder { return &Recorder{} }

// Begin starts the counts anew for an order; the same order again changes nothing.
func (r *Recorder) Begin(order uint64, version string) {}

// Note counts an outcome.
func (r *Recorder) Note(o Outcome) {}

// Report returns the counts; ok is false while there is no order.
func (r *Recorder) Report(plan uint64, inFlight int64) (report Report, ok bool) {
	return Report{}, false
}

// Verdict is what the evidence says of the new version.
type Verdict struct {
	// Bad is true once it is told that the version is worse than the old ones.
	Bad bool
	// Enough is true once each route with requests has shown enough runs to move on.
	Enough bool
	// Cause names the route, the figures and the test, for the log and for operators.
	Cause string
}

// Judge weighs the reports of one order. It is not safe for concurrent use.
type Judge struct{}

// NewJudge makes the judge of an order.
func NewJudge(order Order) *Judge { return &Judge{} }

// Take takes a report over; old ones of a process are passed over.
func (j *Judge) Take(now int64, r Report) {}

// Verdict weighs all that was taken. now is in nanoseconds of a steady clock.
func (j *Judge) Verdict(now int64) Verdict { return Verdict{} }
