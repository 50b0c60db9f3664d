package bench

import (
	"time"

	"github.com/rushramp/rushramp/pkg/placement"
)

// callsWindow is how long each point of the slopes of calls is measured.
const callsWindow = 5 * time.Second

// twoDaemons is an entry and an executor with a load of one kind.
func twoDaemons(rate float64, never bool) *Deployment {
	kind := placement.Kind{Name: "all", Method: "GET", Path: "/*", DataCentres: []string{"one"}, NeverRepeat: never}
	return &Deployment{
		Name: "calls", DataCentres: []string{"one"}, Slots: 100, Connections: 200, TimeScale: 1,
		ExtraEntries: 1, EnterAtEntries: true,
		Services: []Service{{Name: "work", Workers: 1, Kinds: []Kind{{
			Placement: kind, Rate: rate, ServiceTime: 5 * time.Millisecond, Distribution: "fixed", AnswerBytes: 500,
		}}}},
	}
}

// cost is what a load took of this process.
type cost struct {
	cpu          float64
	writes       float64
	bytes        float64
	measureBytes float64
}

// costOf runs a load and measures it.
func costOf(rate float64, never bool, policy string) (cost, error) {
	opts := Options{Duration: callsWindow, Policy: policy, Seed: 1}
	clusterOpts, err := policyOptions(opts)
	if err != nil {
		return cost{}, err
	}
	c, err := startCluster(twoDaemons(rate, never), clusterOpts)
	if err != nil {
		return cost{}, err
	}
	defer c.stop()
	if err := c.warm(); err != nil {
		return cost{}, err
	}
	time.Sleep(settle)
	arrivals := drawArrivals(c.deployment, opts.Duration, opts.Seed)
	before, traffic, used, began := c.counters(), c.traffic(), processCPU(), time.Now()
	c.load(arrivals, policy == directName)
	seconds := time.Since(began).Seconds()
	after := c.counters()
	return cost{
		cpu:          100 * (processCPU() - used).Seconds() / seconds,
		writes:       float64(after.storeWrites-before.storeWrites) / float64(len(arrivals)),
		bytes:        float64(c.traffic().bytes-traffic.bytes) / float64(len(arrivals)),
		measureBytes: float64(after.measureBytes-before.measureBytes) / float64(len(arrivals)),
	}, nil
}

// slopesOfCalls measures what calls take of an entry and an executor: the
// process's time with the daemons on the way, less that past them.
func slopesOfCalls() ([]*slope, error) {
	cpu := &slope{name: "processor time of entry and executor together", unit: "% of a core", per: "call/s"}
	bytes := &slope{name: "bytes on the link a call, counted at both ends", unit: "B", per: "call/s"}
	measure := &slope{name: "bytes of load reports a call, both sides", unit: "B", per: "call/s"}
	for _, rate := range []float64{50, 100, 219, 438} {
		through, err := costOf(rate, false, "")
		if err != nil {
			return nil, err
		}
		past, err := costOf(rate, false, directName)
		if err != nil {
			return nil, err
		}
		cpu.add(rate, through.cpu-past.cpu)
		bytes.add(rate, through.bytes)
		measure.add(rate, through.measureBytes)
	}
	return []*slope{cpu, bytes, measure}, nil
}

// slopesOfClaims measures how many writes of the platform's table a
// never-repeat call takes at one executor. The stand-in answers at once, so
// few claims meet: it is the most that it takes.
func slopesOfClaims() ([]*slope, error) {
	writes := &slope{name: "platform writes a never-repeat call", unit: "writes", per: "call/s"}
	for _, rate := range []float64{20, 50, 100, 200} {
		found, err := costOf(rate, true, "")
		if err != nil {
			return nil, err
		}
		writes.add(rate, found.writes)
	}
	return []*slope{writes}, nil
}
