// Package routing maps the host and path of a request to the services that may
// handle it. A placement version contains the routes; Compile prepares them for
// fast lookups. Source: docs/design/platform.md, "The way of a request".
package routing

import "time"

// Part is one of the services that a route distributes requests to.
type Part struct {
	Service string `cbor:"1,keyasint" yaml:"service" validate:"required"`
	// Weight is the part's share of requests relative to the route's other parts.
	Weight uint32 `cbor:"2,keyasint" yaml:"weight" validate:"min=0"`
}

// Route holds the rules for requests to one host under one path prefix.
type Route struct {
	Name string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	Host string `cbor:"2,keyasint" yaml:"host" validate:"required"`
	// Prefix begins and ends with a slash. The route with the longest prefix of the
	// request's path is used.
	Prefix string `cbor:"3,keyasint" yaml:"prefix" validate:"required,startswith=/,endswith=/"`
	Parts  []Part `cbor:"4,keyasint" yaml:"parts" validate:"required,min=1,dive"`
	// Repeatable is true if a request may run more than once; otherwise it runs at most
	// once.
	Repeatable bool `cbor:"5,keyasint,omitempty" yaml:"repeatable,omitempty"`
	// Timeout bounds the time from the arrival of a request to its answer.
	Timeout time.Duration `cbor:"6,keyasint,omitempty" yaml:"timeout,omitempty" validate:"min=0"`
	// Target is the desired response time; a later answer is worth less to the caller.
	Target time.Duration `cbor:"7,keyasint,omitempty" yaml:"target,omitempty" validate:"min=0"`
	// Priority is the priority of the route's requests in a gate's queue; 0 is the highest.
	Priority uint8 `cbor:"8,keyasint,omitempty" yaml:"priority,omitempty"`
	// Attempts is the maximum number of backend servers that one request may be sent
	// to; 0 means 1.
	Attempts int `cbor:"9,keyasint,omitempty" yaml:"attempts,omitempty" validate:"min=0"`
	// DataCentres lists where the requests may be handled. Empty means anywhere,
	// NoDataCentre alone means nowhere.
	DataCentres []string `cbor:"10,keyasint,omitempty" yaml:"data_centres,omitempty"`
	// Regions are the regions that DataCentres was derived from, if operators named
	// regions. An executor also checks its own region against them, because DataCentres
	// may be derived from an outdated map of data centres to regions.
	Regions []string `cbor:"11,keyasint,omitempty" yaml:"regions,omitempty"`
	// KeyExempt allows requests without a key even if the placement has teams.
	KeyExempt bool `cbor:"12,keyasint,omitempty" yaml:"key_exempt,omitempty"`
}

// Service holds the operators' settings for a service's backend servers.
type Service struct {
	Name string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	// HealthPath is the path of the backend server's own health check, a GET request.
	HealthPath string `cbor:"2,keyasint,omitempty" yaml:"health_path,omitempty"`
	// Connections is the maximum that one backend server accepts from all callers.
	Connections int `cbor:"3,keyasint,omitempty" yaml:"connections,omitempty"`
	// ColdFor is how long a backend server is cold after it has started or become
	// available again.
	ColdFor time.Duration `cbor:"4,keyasint,omitempty" yaml:"cold_for,omitempty" validate:"min=0"`
	// ColdRate is the number of requests per second that a cold backend server can
	// handle; 0: as many as a warm one.
	ColdRate float64 `cbor:"5,keyasint,omitempty" yaml:"cold_rate,omitempty" validate:"min=0"`
}

// Limits bound the size of callers' requests and the time to receive them.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty" yaml:"max_header_bytes,omitempty"`
	MaxBodyBytes   int           `cbor:"2,keyasint,omitempty" yaml:"max_body_bytes,omitempty"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty" yaml:"header_timeout,omitempty"`
	IdleTimeout    time.Duration `cbor:"4,keyasint,omitempty" yaml:"idle_timeout,omitempty"`
}
