package rollout

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds on what peers, operators and the store may tell of roll-outs.
const (
	// nameMost is the longest name or version, in bytes: the store's bound on texts.
	nameMost = 200
	// causeMost is the longest cause, in bytes.
	causeMost = 1000
	// servicesMost bounds the services that have an order, a plan or a stop at a time,
	// and vmsMost the canaries of one.
	servicesMost = 4096
	vmsMost      = 4096
	// versionsMost bounds the versions that served before.
	versionsMost = 64
	// routesMost bounds the routes in a report.
	routesMost = 16384
	// durationMost is the longest time that an order may take.
	durationMost = 30 * 24 * time.Hour
)

// Check says what is wrong with an order; nil: nothing.
func (o Order) Check() error {
	switch {
	case !isName(o.Service):
		return errors.New("the order names no service, or one that is too long")
	case !isName(o.Version):
		return errors.Errorf("the order for service %q names no version, or one that is too long", o.Service)
	case o.Duration <= 0 || o.Duration > durationMost:
		return errors.Errorf("the order for service %q must be given more than no time and at most %v", o.Service, durationMost)
	}
	return nil
}

// Check says what is wrong with a peer's news; nil: nothing.
func (n News) Check() error {
	if max(len(n.Orders.List), len(n.Plans), len(n.Stops)) > servicesMost {
		return errors.Errorf("news of more than %d services", servicesMost)
	}
	before := ""
	for _, o := range n.Orders.List {
		if err := o.Check(); err != nil {
			return err
		}
		if o.Service <= before {
			return errors.New("orders are not in the order of their services")
		}
		before = o.Service
	}
	for i := range n.Plans {
		if err := n.Plans[i].check(); err != nil {
			return err
		}
	}
	for _, s := range n.Stops {
		if !isName(s.Service) || len(s.Cause) > causeMost {
			return errors.New("a stop with a text that is empty or too long")
		}
	}
	return nil
}

func (p *Plan) check() error {
	switch {
	case !isName(p.Service) || !isName(p.Target) || len(p.Cause) > causeMost:
		return errors.Errorf("a plan of service %q with a text that is empty or too long", p.Service[:min(len(p.Service), nameMost)])
	case p.Phase > RolledBack:
		return errors.Errorf("the plan of service %q is in phase %d, which this release does not know", p.Service, p.Phase)
	case p.PerMille > 1000 || len(p.Canaries) > vmsMost || len(p.Old) > versionsMost:
		return errors.Errorf("the plan of service %q has a figure out of bounds", p.Service)
	}
	return nil
}

// Check says what is wrong with a report; nil: nothing.
func (r Report) Check() error {
	if !isName(r.Service) || !isName(r.VM) || len(r.Version) > nameMost || len(r.Routes) > routesMost {
		return errors.New("a report with a text that is empty or too long, or with too many routes")
	}
	return nil
}

func isName(text string) bool { return text != "" && len(text) <= nameMost }
