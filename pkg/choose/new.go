package choose

import (
	"time"

	"github.com/pkg/errors"
)

// Options are what a policy needs besides its name.
type Options struct {
	StampHalfLife time.Duration
}

// New makes the policy of a name. The names stand in the settings.
func New(name string, opts Options) (Policy, error) {
	switch name {
	case "random":
		return RandomPolicy{}, nil
	case "round_robin":
		return &RoundRobin{}, nil
	case "least_outstanding":
		return LeastOutstanding{}, nil
	case "hot_cold":
		return HotCold{}, nil
	case "idle_hints":
		return &IdleHints{}, nil
	case "expected_wait":
		return &ExpectedWait{StampHalfLife: opts.StampHalfLife}, nil
	}
	return nil, errors.Errorf("there is no policy %q", name)
}
