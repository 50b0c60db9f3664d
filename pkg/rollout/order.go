// Package rollout moves the requests of a service from one version of its backend
// servers to another one, as operators order it: first a small share of them to a few
// canaries, then all of them once the canaries have run enough requests. As soon as the
// new version proves worse than the old ones it gets no more requests.
// The package does not use the network. Source: docs/design/rollout.md.
package rollout

import (
	"slices"
	"strings"
	"time"
)

// Order is an operator's order to move the requests of a service to the backend servers
// of a version within a time.
type Order struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Version is the version to move to.
	Version string
	// Revision is the store's counter at which the order was written. An order of the same
	// service with a higher revision replaces this one.
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

// Orders is the whole set of orders in the store at one revision. A set is never modified;
// one of a higher revision replaces it. The zero value stands for a set that is not known.
type Orders struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the store's counter at which the set was read.
	Revision uint64
	// List is sorted by service and holds one order a service.
	List []Order
}

// With returns the set with some changes applied, as it is at a later revision.
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

// find returns the index of a service's order, or where to insert it.
func (o Orders) find(service string) (at int, found bool) {
	return slices.BinarySearchFunc(o.List, service, func(have Order, want string) int { return strings.Compare(have.Service, want) })
}
