// Package burn reports how fast services burn their error budgets: from the
// daemons' metrics, over short and long windows, by data centre and backend
// server. VMs keep nothing, so the tool keeps its samples in a file where it
// runs. Source: docs/operators/burn.md.
package burn

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/settings"
)

// Objectives is the file of objectives.
type Objectives struct {
	// Daemons are the metrics addresses to read.
	Daemons []string `yaml:"daemons" validate:"required,min=1"`
	// Objectives are what the services promise.
	Objectives []Objective `yaml:"objectives" validate:"required,dive"`
}

// Objective is what one kind of request promises.
type Objective struct {
	Service string `yaml:"service" validate:"required"`
	Kind    string `yaml:"kind" validate:"required"`
	// Within is the time in which a call must be answered.
	Within time.Duration `yaml:"within" validate:"required"`
	// Share is the share of calls that must be.
	Share float64 `yaml:"share" validate:"gt=0,lt=1"`
}

// LoadObjectives reads and checks the file.
func LoadObjectives(path string) (*Objectives, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Errorf("cannot read the objectives: %v. Name a file with --objectives.", err)
	}
	out := &Objectives{}
	return out, errors.Wrapf(settings.DecodeStrict(text, out), "%s", path)
}
