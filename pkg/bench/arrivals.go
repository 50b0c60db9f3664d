package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// arrival is one call of the load. Everything about it is drawn before the
// run, so that each policy meets the same calls.
type arrival struct {
	at      time.Duration
	id      string
	service *Service
	kind    *Kind
	// entry picks the daemon among those that may take the caller.
	entry   uint64
	nominal time.Duration
	key     string
	// attempt counts the times that the caller has sent the call before.
	attempt int
}

// ledgerID names one attempt in the ledgers of backend servers.
func (a *arrival) ledgerID() string {
	if a.attempt == 0 {
		return a.id
	}
	return fmt.Sprintf("%s.%d", a.id, a.attempt)
}

// drawArrivals draws the calls of a run.
func drawArrivals(d *Deployment, duration time.Duration, seed uint64) []arrival {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var out []arrival
	for si := range d.Services {
		s := &d.Services[si]
		for ki := range s.Kinds {
			out = append(out, drawKind(d, s, &s.Kinds[ki], duration, rnd)...)
		}
	}
	if d.Shape.Burst != nil {
		out = append(out, drawBursts(d, duration, rnd)...)
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

// drawKind draws a Poisson process.
func drawKind(d *Deployment, s *Service, k *Kind, duration time.Duration, rnd *rand.Rand) []arrival {
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

func drawBursts(d *Deployment, duration time.Duration, rnd *rand.Rand) []arrival {
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
	return arrival{at: at, service: s, kind: k, entry: rnd.Uint64(), nominal: drawService(k, rnd)}
}

// The parameters of the wide distributions, each with mean 1.
const (
	lognormalSigma = 1.0
	paretoAlpha    = 2.1
	// longest bounds a draw, in means: a heavy tail of one run is no second's.
	longest = 50
)

func drawService(k *Kind, rnd *rand.Rand) time.Duration {
	factor := 1.0
	switch k.Distribution {
	case "", "exponential":
		factor = rnd.ExpFloat64()
	case "lognormal":
		factor = math.Exp(rnd.NormFloat64()*lognormalSigma - lognormalSigma*lognormalSigma/2)
	case "pareto":
		factor = (paretoAlpha - 1) / paretoAlpha / math.Pow(1-rnd.Float64(), 1/paretoAlpha)
	}
	return time.Duration(min(factor, longest) * float64(k.ServiceTime))
}

func (d *Deployment) service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return &d.Services[0]
}
