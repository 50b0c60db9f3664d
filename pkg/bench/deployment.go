// Package bench runs a deployment inside one process: daemons and stand-ins
// connected over loopback TCP, under an open-loop load. Its report counts
// violated guarantees from the stand-ins' ledgers. Source:
// docs/dev/measuring.md.
package bench

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/settings"
)

// Deployment is the content of an experiment file: the VMs, the services and
// the load.
type Deployment struct {
	// Name identifies the deployment in the report.
	Name string `yaml:"name" validate:"required"`
	// DataCentres lists the data centres. OneWayLatency is the network latency
	// between any two of them.
	DataCentres   []string      `yaml:"data_centres" validate:"required,min=1"`
	OneWayLatency time.Duration `yaml:"one_way_latency"`
	// Slots is the number of calls that a backend server runs at the same time,
	// Connections the number of connections to it.
	Slots       int `yaml:"slots" validate:"min=1"`
	Connections int `yaml:"connections" validate:"min=1"`
	// ExtraEntries is the number of daemons without a backend server, spread
	// over the data centres.
	ExtraEntries int `yaml:"extra_entries"`
	// EnterAtEntries sends all calls to the daemons without a backend server,
	// so that each call crosses a link.
	EnterAtEntries bool      `yaml:"enter_at_entries"`
	Services       []Service `yaml:"services" validate:"required,dive"`
	// Shape describes how load and servers change during the run.
	Shape Shape `yaml:"shape"`
	// TimeScale multiplies all times and divides all rates. The system behaves
	// the same, only slower, so that noise of the machine matters less.
	TimeScale int `yaml:"time_scale" validate:"min=0,max=100"`
}

// Service is one service of a deployment.
type Service struct {
	Name string `yaml:"name" validate:"required"`
	// Workers is the number of backend servers. They are placed in turn in
	// DataCentres, or in all data centres when it is empty.
	Workers     int      `yaml:"workers" validate:"min=1"`
	DataCentres []string `yaml:"data_centres"`
	Kinds       []Kind   `yaml:"kinds" validate:"required,dive"`
}

// Kind is a kind of request and its load.
type Kind struct {
	Placement placement.Kind `yaml:"placement" validate:"required"`
	// Utilisation is the share of the service's slots that this kind keeps
	// busy.
	Utilisation float64 `yaml:"use" validate:"min=0"`
	// Rate is in calls per second. It takes precedence over Utilisation.
	Rate float64 `yaml:"rate" validate:"min=0"`
	// ServiceTime is the mean nominal time that a call runs at a backend
	// server.
	ServiceTime time.Duration `yaml:"service_time" validate:"required"`
	// Distribution is the distribution of service times around their mean;
	// empty means exponential.
	Distribution string `yaml:"spread" validate:"omitempty,oneof=exponential fixed lognormal pareto"`
	// AnswerBytes and RequestBytes are the sizes of the bodies.
	AnswerBytes  int `yaml:"answer_bytes"`
	RequestBytes int `yaml:"request_bytes"`
	// Timeout is what callers set for each call; 0 uses the daemons' default.
	Timeout time.Duration `yaml:"timeout"`
}

// Shape describes how load and servers change during the run. Every part is
// optional.
type Shape struct {
	// Slow slows down servers of a service.
	Slow *Slowdown `yaml:"slow"`
	// Burst adds calls in short bursts.
	Burst *Burst `yaml:"burst"`
	// FailFast makes the first server of a service answer each call with an
	// error at once.
	FailFast *ServerFault `yaml:"fail_fast"`
	// Cold slows the first server of a service by Factor, like a cold start.
	Cold *ServerFault `yaml:"cold"`
}

// Slowdown makes one server of a service slower by Factor, for the time For,
// again after each Every.
type Slowdown struct {
	Service string        `yaml:"service"`
	Factor  float64       `yaml:"factor"`
	For     time.Duration `yaml:"for"`
	Every   time.Duration `yaml:"every"`
	// InTurn slows another server each time; without it, it is always the
	// first.
	InTurn bool `yaml:"in_turn"`
}

// Burst adds Calls calls of a service's first kind, spread over the time Over,
// again after each Every.
type Burst struct {
	Service string        `yaml:"service"`
	Calls   int           `yaml:"calls"`
	Over    time.Duration `yaml:"over"`
	Every   time.Duration `yaml:"every"`
}

// ServerFault is a fault of the first server of a service. It begins At after
// the start of the load and lasts For, or until the end when For is 0.
type ServerFault struct {
	Service string        `yaml:"service"`
	At      time.Duration `yaml:"at"`
	For     time.Duration `yaml:"for"`
	Factor  float64       `yaml:"factor"`
}

// LoadDeployment reads and validates an experiment file, and applies its
// TimeScale.
func LoadDeployment(path string) (*Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("cannot read the deployment: %v. Name an existing file.", err)
	}
	out := &Deployment{Slots: 12, Connections: 200}
	if err := settings.DecodeStrict(text, out); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	out.applyTimeScale()
	return out, nil
}

// applyTimeScale multiplies all times by TimeScale and divides the rates by it.
func (d *Deployment) applyTimeScale() {
	if d.TimeScale <= 1 {
		d.TimeScale = 1
		return
	}
	times := []*time.Duration{&d.OneWayLatency}
	for si := range d.Services {
		for ki := range d.Services[si].Kinds {
			k := &d.Services[si].Kinds[ki]
			k.Rate /= float64(d.TimeScale)
			times = append(times, &k.ServiceTime, &k.Timeout, &k.Placement.Timeout)
		}
	}
	for _, t := range append(times, d.Shape.durations()...) {
		*t *= time.Duration(d.TimeScale)
	}
}

// durations returns pointers to all times of the shape.
func (s *Shape) durations() []*time.Duration {
	var out []*time.Duration
	if s.Slow != nil {
		out = append(out, &s.Slow.For, &s.Slow.Every)
	}
	if s.Burst != nil {
		out = append(out, &s.Burst.Over, &s.Burst.Every)
	}
	for _, t := range []*ServerFault{s.FailFast, s.Cold} {
		if t != nil {
			out = append(out, &t.At, &t.For)
		}
	}
	return out
}

// Document returns the deployment's placement as version 1.
func (d *Deployment) Document() *placement.Document {
	out := &placement.Document{Version: 1}
	for _, s := range d.Services {
		service := placement.Service{Name: s.Name}
		for _, k := range s.Kinds {
			service.Kinds = append(service.Kinds, k.Placement)
		}
		out.Services = append(out.Services, service)
	}
	return out
}

// callsPerSecond returns the mean arrival rate of a kind.
func (d *Deployment) callsPerSecond(s *Service, k *Kind) float64 {
	if k.Rate > 0 {
		return k.Rate
	}
	return k.Utilisation * float64(s.Workers*d.Slots) / k.ServiceTime.Seconds()
}
