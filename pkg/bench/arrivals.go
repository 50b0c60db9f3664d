package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// arrival is one call of the load. All its random values are drawn before the
// run, so that every policy gets the same calls.
type arrival struct {
	// at is the intended start, counted from the start of the load.
	at      time.Duration
	id      string
	service *Service
	kind    *Kind
	// entryDraw is a random number that selects one of the daemons that may
	// receive the call.
	entryDraw uint64
	// serviceTime is the nominal time that the call runs at a backend server.
	serviceTime time.Duration
	// key is the Idempotency-Key of a never-repeat call; empty for other calls.
	key string
	// attempt counts earlier attempts by the caller to send the same call.
	attempt int
}

// ledgerID returns the id under which the backend servers' ledgers record this
// attempt.
func (a *arrival) ledgerID() string {
	if a.attempt == 0 {
		return a.id
	}
	return fmt.Sprintf("%s.%d", a.id, a.attempt)
}

// drawArrivals returns the calls of a run, in order of their start.
func drawArrivals(d *Deployment, duration time.Duration, seed uint64) []arrival {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var out []arrival
	for si := range d.Services {
		s := &d.Services[si]
		for ki := range s.Kinds {
			out = append(out, drawKindArrivals(d, s, &s.Kinds[ki], duration, rnd)...)
		}
	}
	if d.Shape.Burst != nil {
		out = append(out, drawBurstArrivals(d, duration, rnd)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	for i := range out {
		out[i].id = fmt.Sprintf("c%d-%d", seed, i)
		if out[i].kind.Placement.NeverRepeat {
			out[i].key = "key-" + out[i].id
		}
	}
	return out
}

// drawKindArrivals draws the arrivals of a kind from a Poisson process.
func drawKindArrivals(d *Deployment, s *Service, k *Kind, duration time.Duration, rnd *rand.Rand) []arrival {
	rate := d.callsPerSecond(s, k)
	if rate <= 0 {
		return nil
	}
	var out []arrival
	for at := rnd.ExpFloat64() / rate; at < duration.Seconds(); at += rnd.ExpFloat64() / rate {
		out = append(out, newArrival(time.Duration(at*float64(time.Second)), s, k, rnd))
	}
	return out
}

// drawBurstArrivals draws the additional calls of Shape.Burst.
func drawBurstArrivals(d *Deployment, duration time.Duration, rnd *rand.Rand) []arrival {
	b := d.Shape.Burst
	s := d.service(b.Service)
	var out []arrival
	for start := b.Every; start < duration; start += b.Every {
		for range b.Calls {
			at := start + time.Duration(rnd.Float64()*float64(b.Over))
			out = append(out, newArrival(at, s, &s.Kinds[0], rnd))
		}
	}
	return out
}

func newArrival(at time.Duration, s *Service, k *Kind, rnd *rand.Rand) arrival {
	return arrival{at: at, service: s, kind: k, entryDraw: rnd.Uint64(), serviceTime: drawServiceTime(k, rnd)}
}

// Parameters of the heavy-tailed distributions, each scaled to a mean of 1.
const (
	lognormalSigma = 1.0
	paretoAlpha    = 2.1
	// maxServiceTimeFactor limits a service time to a multiple of the mean, so
	// that a single call does not decide the result of a run.
	maxServiceTimeFactor = 50
)

// drawServiceTime draws a service time from the kind's distribution.
func drawServiceTime(k *Kind, rnd *rand.Rand) time.Duration {
	factor := 1.0
	switch k.Distribution {
	case "", "exponential":
		factor = rnd.ExpFloat64()
	case "lognormal":
		factor = math.Exp(rnd.NormFloat64()*lognormalSigma - lognormalSigma*lognormalSigma/2)
	case "pareto":
		factor = (paretoAlpha - 1) / paretoAlpha / math.Pow(1-rnd.Float64(), 1/paretoAlpha)
	}
	return time.Duration(min(factor, maxServiceTimeFactor) * float64(k.ServiceTime))
}

// service returns the service of that name, or the first one when there is
// none.
func (d *Deployment) service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return &d.Services[0]
}
