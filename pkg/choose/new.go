package choose

import (
	"time"

	"github.com/pkg/errors"
)

// Options are the parameters of the policies.
type Options struct {
	// StampHalfLife is ExpectedWait.StampHalfLife.
	StampHalfLife time.Duration
}

// New returns the policy with a name of the setting choosing.policy. It fails on any
// other name.
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
	return nil, errors.Errorf("unknown choosing policy %q", name)
}
