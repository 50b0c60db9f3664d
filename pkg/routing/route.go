// Package routing maps the host and path of a request to the services that may
// run it. A placement version carries the routes; Compile makes them ready for
// the hot path. Source: docs/design/platform.md, "The way of a request".
package routing

import "time"

// Part is one service that a route sends requests to.
type Part struct {
	Service string `cbor:"1,keyasint" yaml:"service" validate:"required"`
	// Weight is the part's share relative to the other parts of the route.
	Weight uint32 `cbor:"2,keyasint" yaml:"weight" validate:"min=0"`
}

// Route says what happens to requests of one host under one path prefix.
type Route struct {
	Name string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	Host string `cbor:"2,keyasint" yaml:"host" validate:"required"`
	// Prefix begins and ends with a slash. The longest one that begins the
	// path wins.
	Prefix string `cbor:"3,keyasint" yaml:"prefix" validate:"required,startswith=/,endswith=/"`
	Parts  []Part `cbor:"4,keyasint" yaml:"parts" validate:"required,min=1,dive"`
	// Repeatable requests may run more than once; all others at most once.
	Repeatable bool `cbor:"5,keyasint,omitempty" yaml:"repeatable,omitempty"`
	// Timeout is the longest that a request is held.
	Timeout time.Duration `cbor:"6,keyasint,omitempty" yaml:"timeout,omitempty" validate:"min=0"`
	// Target is the time within which an answer has its full worth.
	Target time.Duration `cbor:"7,keyasint,omitempty" yaml:"target,omitempty" validate:"min=0"`
	// Priority is the rank of the route's requests at a gate; 0 is the highest.
	Priority uint8 `cbor:"8,keyasint,omitempty" yaml:"priority,omitempty"`
	// Attempts is the largest number of backend servers that one request may
	// be handed to; 0 stands for 1.
	Attempts int `cbor:"9,keyasint,omitempty" yaml:"attempts,omitempty" validate:"min=0"`
	// DataCentres lists where the requests may be handled; empty: anywhere, and
	// Nowhere alone: by nobody.
	DataCentres []string `cbor:"10,keyasint,omitempty" yaml:"data_centres,omitempty"`
	// Regions are the regions that DataCentres was translated from, where the
	// operators named regions. An executor asks for its own among them besides: it
	// knows that at first hand, and who translated may have had another map.
	Regions []string `cbor:"11,keyasint,omitempty" yaml:"regions,omitempty"`
	// KeyExempt lets requests in that carry no key, where the placement has teams.
	KeyExempt bool `cbor:"12,keyasint,omitempty" yaml:"key_exempt,omitempty"`
}

// Service is what operators say of a service's backend servers.
type Service struct {
	Name string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	// HealthPath answers GET requests with the backend server's own opinion.
	HealthPath string `cbor:"2,keyasint,omitempty" yaml:"health_path,omitempty"`
	// Connections is the most that one backend server accepts from all callers.
	Connections int `cbor:"3,keyasint,omitempty" yaml:"connections,omitempty"`
	// ColdFor is how long a backend server is cold after it has started, or has
	// come back.
	ColdFor time.Duration `cbor:"4,keyasint,omitempty" yaml:"cold_for,omitempty" validate:"min=0"`
	// ColdRate is how many requests a second a cold backend server bears; 0: as
	// many as a warm one.
	ColdRate float64 `cbor:"5,keyasint,omitempty" yaml:"cold_rate,omitempty" validate:"min=0"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty" yaml:"max_header_bytes,omitempty"`
	MaxBodyBytes   int           `cbor:"2,keyasint,omitempty" yaml:"max_body_bytes,omitempty"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty" yaml:"header_timeout,omitempty"`
	IdleTimeout    time.Duration `cbor:"4,keyasint,omitempty" yaml:"idle_timeout,omitempty"`
}
