package bench

import (
	"time"

	"github.com/rushramp/rushramp/pkg/placement"
)

// loadWindow is how long each point of measureCalls and measureClaims is
// measured.
const loadWindow = 5 * time.Second

// entryAndExecutor returns a deployment of one entry and one executor with a
// load of a single kind.
func entryAndExecutor(rate float64, neverRepeat bool) *Deployment {
	kind := placement.Kind{Name: "all", Method: "GET", Path: "/*", DataCentres: []string{"one"}, NeverRepeat: neverRepeat}
	return &Deployment{
		Name: "calls", DataCentres: []string{"one"}, Slots: 100, Connections: 200, TimeScale: 1,
		ExtraEntries: 1, EnterAtEntries: true,
		Services: []Service{{Name: "work", Workers: 1, Kinds: []Kind{{
			Placement: kind, Rate: rate, ServiceTime: 5 * time.Millisecond, Distribution: "fixed", AnswerBytes: 500,
		}}}},
	}
}

// loadCost is the cost of a load: cpu in percent of a core, the other values
// per call.
type loadCost struct {
	cpu          float64
	writes       float64
	bytes        float64
	measureBytes float64
}

// measureLoadCost runs a load and measures its cost.
func measureLoadCost(rate float64, neverRepeat bool, policy string) (loadCost, error) {
	opts := Options{Duration: loadWindow, Policy: policy, Seed: 1}
	clusterOpts, err := policyOptions(opts)
	if err != nil {
		return loadCost{}, err
	}
	c, err := startCluster(entryAndExecutor(rate, neverRepeat), clusterOpts)
	if err != nil {
		return loadCost{}, err
	}
	defer c.stop()
	if err := c.warmUp(); err != nil {
		return loadCost{}, err
	}
	time.Sleep(settleTime)
	arrivals := drawArrivals(c.deployment, opts.Duration, opts.Seed)
	before, traffic, used, began := c.counters(), c.traffic(), processCPUTime(), time.Now()
	c.sendArrivals(arrivals, policy == directPolicy)
	seconds := time.Since(began).Seconds()
	after := c.counters()
	return loadCost{
		cpu:          100 * (processCPUTime() - used).Seconds() / seconds,
		writes:       float64(after.storeWrites-before.storeWrites) / float64(len(arrivals)),
		bytes:        float64(c.traffic().bytes-traffic.bytes) / float64(len(arrivals)),
		measureBytes: float64(after.measureBytes-before.measureBytes) / float64(len(arrivals)),
	}, nil
}

// measureCalls measures the CPU time and the bytes that calls cost an entry and
// an executor. The CPU time is the difference between calls through the daemons
// and calls sent directly to the backend server.
func measureCalls() ([]*series, error) {
	cpu := &series{name: "processor time of entry and executor together", unit: "% of a core", sizeUnit: "call/s"}
	bytes := &series{name: "bytes on the link a call, counted at both ends", unit: "B", sizeUnit: "call/s"}
	measure := &series{name: "bytes of load reports a call, both sides", unit: "B", sizeUnit: "call/s"}
	for _, rate := range []float64{50, 100, 219, 438} {
		viaDaemons, err := measureLoadCost(rate, false, "")
		if err != nil {
			return nil, err
		}
		direct, err := measureLoadCost(rate, false, directPolicy)
		if err != nil {
			return nil, err
		}
		cpu.add(rate, viaDaemons.cpu-direct.cpu)
		bytes.add(rate, viaDaemons.bytes)
		measure.add(rate, viaDaemons.measureBytes)
	}
	return []*series{cpu, bytes, measure}, nil
}

// measureClaims measures the table writes per never-repeat call at one
// executor. Calls rarely overlap, because the stand-in store answers at once;
// so few claims share a write, and the result is an upper bound.
func measureClaims() ([]*series, error) {
	writes := &series{name: "platform writes a never-repeat call", unit: "writes", sizeUnit: "call/s"}
	for _, rate := range []float64{20, 50, 100, 200} {
		found, err := measureLoadCost(rate, true, "")
		if err != nil {
			return nil, err
		}
		writes.add(rate, found.writes)
	}
	return []*series{writes}, nil
}
