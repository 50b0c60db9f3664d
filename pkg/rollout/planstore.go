package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// PlanStore keeps the plans' rows in the platform's store, one a service, and beside
// each the state that operators read.
type PlanStore interface {
	// Read reads the plan of a service.
	Read(ctx context.Context, service string) (StoredPlan, error)
	// Write writes the plan's row, and the state beside it, where the row still has the
	// version that the plan names; else store.ErrConflict. Any other error leaves open
	// whether the plan was written, or will be: the row must be read before anything
	// else is written.
	Write(ctx context.Context, plan Plan) error
}

// ErrUnreadablePlan is of a row that no read makes sense of: it is damaged, or of a later
// release.
var ErrUnreadablePlan = errors.New("the plan's row cannot be read; it stays as it is until it is written by hand")

// StoredPlan is what a Register read.
type StoredPlan struct {
	// Plan is the zero value where none was written yet.
	Plan Plan
	// Now is the store's steady clock at some moment while it was read.
	Now time.Duration
}

// Encode makes the value of a plan's row. It is JSON, so that daemons of another
// release read what they know of it.
func (p Plan) Encode() ([]byte, error) {
	written := p
	written.Revision = max(p.Revision, 1)
	if !written.valid() {
		// Nobody could read it again, and nobody could write over it.
		return nil, errors.Errorf("the plan of service %q has a value out of bounds; it is not written", p.Service)
	}
	value, err := json.Marshal(p)
	return value, errors.Wrap(err, "plan")
}

// DecodePlan reads the value of a service's row, which has the given version.
func DecodePlan(service string, value []byte, version uint64) (Plan, error) {
	var out Plan
	if err := json.Unmarshal(value, &out); err != nil {
		return Plan{}, errors.Wrapf(ErrUnreadablePlan, "plan of service %q: %s", service, err)
	}
	out.Revision = version
	if out.Service != service {
		return Plan{}, errors.Wrapf(ErrUnreadablePlan, "the plan of service %q is one of %q", service, out.Service)
	}
	if !out.valid() {
		return Plan{}, errors.Wrapf(ErrUnreadablePlan, "the plan of service %q has a value out of bounds, or is of a later release", service)
	}
	return out, nil
}

// Check says what an operator must correct in an order; nil: nothing.
func (o Order) Check() error {
	if o.valid() {
		return nil
	}
	return errors.Errorf("the order for service %q must name a service and a version of at most %d bytes each, and a time above 0", o.Service[:min(len(o.Service), mostName)], mostName)
}
