// Package burn reports the burn rates of services' error budgets. It reads the
// daemons' metrics and works out the rates over short and long windows, and
// each data centre's and backend server's share of the bad calls. VMs keep no
// history, so the tool stores its samples in a file on the machine where it
// runs. Source: docs/operators/burn.md.
package burn

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/settings"
)

// Objectives is the content of the objectives file.
type Objectives struct {
	// Daemons lists the metrics addresses (host:port) to scrape.
	Daemons []string `yaml:"daemons" validate:"required,min=1"`
	// Objectives lists the service-level objectives to report on.
	Objectives []Objective `yaml:"objectives" validate:"required,dive"`
}

// Objective is the service-level objective of one kind of request.
type Objective struct {
	Service string `yaml:"service" validate:"required"`
	Kind    string `yaml:"kind" validate:"required"`
	// Within is the longest answer time of a good call.
	Within time.Duration `yaml:"within" validate:"required"`
	// Share is the target: the share of calls that must be good, between 0 and
	// 1.
	Share float64 `yaml:"share" validate:"gt=0,lt=1"`
}

// LoadObjectives reads and validates the objectives file at path.
func LoadObjectives(path string) (*Objectives, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("cannot read the objectives: %v. Name a file with --objectives.", err)
	}
	out := &Objectives{}
	return out, errors.Wrapf(settings.DecodeStrict(text, out), "%s", path)
}
