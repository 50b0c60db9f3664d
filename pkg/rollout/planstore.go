package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// PlanStore keeps the plans in the platform's store, one row a service, and with each
// plan the state that operators read.
type PlanStore interface {
	// Read returns the plan of a service. It returns ErrUnreadablePlan for a row that
	// cannot be decoded.
	Read(ctx context.Context, service string) (StoredPlan, error)
	// Write writes the plan, and the state that operators read, where the row's version is
	// still the plan's Revision; otherwise it returns store.ErrConflict. After any other
	// error the plan may have been written or may be written later: the row must be read
	// before the next write.
	Write(ctx context.Context, plan Plan) error
}

// ErrUnreadablePlan is returned for a row that is damaged or was written by a later
// release.
var ErrUnreadablePlan = errors.New("the plan's row cannot be decoded; it stays as it is until an operator repairs it")

// StoredPlan is the result of reading a plan.
type StoredPlan struct {
	// Plan is the zero value where no plan was written yet.
	Plan Plan
	// Now is the time on the store's monotonic clock at some moment during the read.
	Now time.Duration
}

// Encode returns the value of the plan's row. It is JSON, so that daemons of another
// release can read the fields that they know. It returns an error for a plan that
// DecodePlan would not accept.
func (p Plan) Encode() ([]byte, error) {
	written := p
	written.Revision = max(p.Revision, 1)
	if !written.valid() {
		// No daemon could read this row, and so none would overwrite it.
		return nil, errors.Errorf("the plan of service %q has a value out of bounds; it is not written", p.Service)
	}
	value, err := json.Marshal(p)
	return value, errors.Wrap(err, "encode the plan")
}

// DecodePlan decodes the value of a service's row; version is the version of the row. It
// returns ErrUnreadablePlan where the value is not a valid plan of the service.
func DecodePlan(service string, value []byte, version uint64) (Plan, error) {
	var out Plan
	if err := json.Unmarshal(value, &out); err != nil {
		return Plan{}, errors.Wrapf(ErrUnreadablePlan, "plan of service %q: %s", service, err)
	}
	out.Revision = version
	if out.Service != service {
		return Plan{}, errors.Wrapf(ErrUnreadablePlan, "the row of service %q holds a plan of service %q", service, out.Service)
	}
	if !out.valid() {
		return Plan{}, errors.Wrapf(ErrUnreadablePlan, "the plan of service %q has a value out of bounds, or was written by a later release", service)
	}
	return out, nil
}

// Check returns an error that tells the operator what to correct; nil for a valid order.
func (o Order) Check() error {
	if o.valid() {
		return nil
	}
	return errors.Errorf("the order for service %q must name a service and a version of at most %d bytes each, and a duration above 0", o.Service[:min(len(o.Service), maxNameBytes)], maxNameBytes)
}
