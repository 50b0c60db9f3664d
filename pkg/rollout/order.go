// Package rollout moves the requests of a service from one version of its backend
// servers to another one, as operators order it: a few of them first, all of them
// once enough is known, none any more as soon as the version shows itself bad.
// Nothing in it uses the network. Source: docs/design/rollout.md.
package rollout

import (
	"slices"
	"strings"
	"time"
)

// Order is what operators ask for: the requests of a service are to move to backend
// servers of a version within a time.
type Order struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Version is the one to move to.
	Version string
	// Revision is the store's counter at which the order was written. A later order
	// of the service has a higher one and takes the place of this one.
	Revision uint64
	// Duration is the time from the order to its deadline.
	Duration time.Duration
}

// OrderChange is an order that was written or taken away.
type OrderChange struct {
	Service string
	// Order is nil where the order was taken away.
	Order *Order
}

// Orders is the whole set of orders as it stood in the store at one revision. A set
// is never changed; the one of the higher revision goes before any other. The zero
// value knows nothing.
type Orders struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the store's counter at which the set was read.
	Revision uint64
	// List is in the order of the services' names, one order a service.
	List []Order
}

// With returns the set after some changes, as it stood at a later revision.
func (o Orders) With(revision uint64, changes []OrderChange) Orders {
	out := Orders{Revision: revision, List: slices.Clone(o.List)}
	for _, c := range changes {
		at, found := out.find(c.Service)
		switch {
		case c.Order == nil && found:
			out.List = slices.Delete(out.List, at, at+1)
		case c.Order != nil && found:
			out.List[at] = *c.Order
		case c.Order != nil:
			out.List = slices.Insert(out.List, at, *c.Order)
		}
	}
	return out
}

// Of returns the order of a service; ok is false where there is none.
func (o Orders) Of(service string) (order Order, ok bool) {
	at, found := o.find(service)
	if !found {
		return Order{}, false
	}
	return o.List[at], true
}

func (o Orders) find(service string) (at int, found bool) {
	return slices.BinarySearchFunc(o.List, service, func(have Order, want string) int { return strings.Compare(have.Service, want) })
}
