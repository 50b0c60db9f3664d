// Package bench runs a deployment inside one process: daemons and stand-ins
// over real loopback TCP, an open-loop load, and a report whose promise counts
// come from the stand-ins' ledgers. Source: docs/dev/measuring.md.
package bench

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/settings"
)

// Deployment is an experiment file: what stands where, and the load.
type Deployment struct {
	// Name is for the report.
	Name string `yaml:"name" validate:"required"`
	// DataCentres are the data centres, with the one-way latency between any two.
	DataCentres   []string      `yaml:"data_centres" validate:"required,min=1"`
	OneWayLatency time.Duration `yaml:"one_way_latency"`
	// Slots and Connections are those of each backend server.
	Slots       int `yaml:"slots" validate:"min=1"`
	Connections int `yaml:"connections" validate:"min=1"`
	// ExtraEntries are daemons without a backend server, spread over the data centres.
	ExtraEntries int `yaml:"extra_entries"`
	// EnterAtEntries makes all calls enter at those daemons, so that each
	// crosses a link.
	EnterAtEntries bool      `yaml:"enter_at_entries"`
	Services       []Service `yaml:"services" validate:"required,dive"`
	// Shape is how load and servers change during the run.
	Shape Shape `yaml:"shape"`
	// TimeScale stretches all times and thins the load: what is measured is the
	// same but for the scale, and stands further above the machine's own noise.
	TimeScale int `yaml:"time_scale" validate:"min=0,max=100"`
}

// Service is one service of a deployment.
type Service struct {
	Name string `yaml:"name" validate:"required"`
	// Workers stand in DataCentres in turn; all data centres when it is empty.
	Workers     int      `yaml:"workers" validate:"min=1"`
	DataCentres []string `yaml:"data_centres"`
	Kinds       []Kind   `yaml:"kinds" validate:"required,dive"`
}

// Kind is a kind of request with its load.
type Kind struct {
	Placement placement.Kind `yaml:"placement" validate:"required"`
	// Utilisation is the share of the service's slots that this kind keeps busy.
	Utilisation float64 `yaml:"use" validate:"min=0"`
	// Rate is calls a second; it goes before Use when both are given.
	Rate float64 `yaml:"rate" validate:"min=0"`
	// ServiceTime is the mean nominal time of a run.
	ServiceTime time.Duration `yaml:"service_time" validate:"required"`
	// Distribution is the distribution of service times around their mean.
	Distribution string `yaml:"spread" validate:"omitempty,oneof=exponential fixed lognormal pareto"`
	// AnswerBytes and RequestBytes are the sizes of bodies.
	AnswerBytes  int `yaml:"answer_bytes"`
	RequestBytes int `yaml:"request_bytes"`
	// Timeout is what callers allow; 0: the daemons' default.
	Timeout time.Duration `yaml:"timeout"`
}

// Shape is how load and servers change during the run.
type Shape struct {
	// Slow slows servers of a service.
	Slow *Slowdown `yaml:"slow"`
	// Burst adds calls in short bursts.
	Burst *Burst `yaml:"burst"`
	// FailFast makes one server of a service answer errors at once.
	FailFast *ServerFault `yaml:"fail_fast"`
	// Cold makes one server of a service start cold.
	Cold *ServerFault `yaml:"cold"`
}

// Slowdown slows servers of a service by a factor, each for a time.
type Slowdown struct {
	Service string        `yaml:"service"`
	Factor  float64       `yaml:"factor"`
	For     time.Duration `yaml:"for"`
	Every   time.Duration `yaml:"every"`
	// InTurn slows one server after the other; else always the first.
	InTurn bool `yaml:"in_turn"`
}

// Burst sends extra calls of a service's first kind all at once.
type Burst struct {
	Service string        `yaml:"service"`
	Calls   int           `yaml:"calls"`
	Over    time.Duration `yaml:"over"`
	Every   time.Duration `yaml:"every"`
}

// ServerFault befalls the first server of a service for a time.
type ServerFault struct {
	Service string        `yaml:"service"`
	At      time.Duration `yaml:"at"`
	For     time.Duration `yaml:"for"`
	Factor  float64       `yaml:"factor"`
}

// LoadDeployment reads and checks an experiment file.
func LoadDeployment(path string) (*Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("cannot read the deployment: %v. Name an existing file.", err)
	}
	out := &Deployment{Slots: 12, Connections: 200}
	if err := settings.Strict(text, out); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	out.stretch()
	return out, nil
}

// stretch applies TimeScale.
func (d *Deployment) stretch() {
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
	for _, t := range append(times, d.Shape.times()...) {
		*t *= time.Duration(d.TimeScale)
	}
}

// times are all times of the shape.
func (s *Shape) times() []*time.Duration {
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

// Document returns the placement of the deployment as version 1.
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

// callsPerSecond is the rate of a kind.
func (d *Deployment) callsPerSecond(s *Service, k *Kind) float64 {
	if k.Rate > 0 {
		return k.Rate
	}
	return k.Utilisation * float64(s.Workers*d.Slots) / k.ServiceTime.Seconds()
}
