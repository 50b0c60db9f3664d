package rollout

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

// Replica is one daemon's copy of the state of all roll-outs. Daemons exchange updates,
// and Merge keeps the newer version of each part: of the orders the set of the higher
// revision, of a service's plans the one that supersedes the other, of its stops the one
// of the later order. Replicas that have merged the same updates, in any order, are
// equal. A Replica is not safe for concurrent use.
type Replica struct {
	orders Orders
	// plans, stops and policies are by service.
	plans    map[string]Plan
	stops    map[string]Stop
	policies map[string]*TrafficPolicy
	// soleVersions holds the version of each service of which this daemon knows exactly
	// one version.
	soleVersions map[string]string
	// snapshot and digest are rebuilt after each change.
	snapshot Update
	digest   uint64
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	r := &Replica{plans: map[string]Plan{}, stops: map[string]Stop{}, policies: map[string]*TrafficPolicy{}, soleVersions: map[string]string{}}
	r.rebuildSnapshot()
	return r
}

// Merge takes over those parts of an update that are newer than the replica's own, and
// ignores parts with values out of bounds. It returns the services whose roll-outs
// changed, sorted; none where the update holds nothing new.
func (r *Replica) Merge(update Update) (changed []string) {
	services := map[string]bool{}
	newOrders := r.mergeOrders(update.Orders, services)
	for i := range update.Plans {
		r.mergePlan(&update.Plans[i], services)
	}
	for i := range update.Stops {
		r.mergeStop(&update.Stops[i], services)
	}
	if !newOrders && len(services) == 0 {
		return nil
	}
	for service := range services {
		r.policies[service] = r.buildPolicy(service)
	}
	r.rebuildSnapshot()
	return slices.Sorted(maps.Keys(services))
}

// mergeOrders replaces the orders by a newer set, and adds the services whose orders
// differ to changed.
func (r *Replica) mergeOrders(orders Orders, changed map[string]bool) (replaced bool) {
	if orders.Revision <= r.orders.Revision || !orders.valid() {
		return false
	}
	before := r.orders
	r.orders = Orders{Revision: orders.Revision, List: slices.Clone(orders.List)}
	for _, o := range before.List {
		if now, found := r.orders.Of(o.Service); !found || now != o {
			changed[o.Service] = true
		}
	}
	for _, o := range r.orders.List {
		if _, found := before.Of(o.Service); !found {
			changed[o.Service] = true
		}
	}
	// The new set may also be the first to show that a plan's order was taken away: it is
	// at least as new as the plan's order and does not hold it.
	for service, p := range r.plans {
		_, found := r.orders.Of(service)
		if !found && before.Revision < p.Order && p.Order <= r.orders.Revision {
			changed[service] = true
		}
	}
	return true
}

// mergePlan replaces the plan of a service by one that supersedes it.
func (r *Replica) mergePlan(p *Plan, changed map[string]bool) {
	have, known := r.plans[p.Service]
	if !p.valid() || !known && len(r.plans) >= maxServices || known && !p.Supersedes(&have) {
		return
	}
	r.plans[p.Service] = *p
	changed[p.Service] = true
}

// mergeStop replaces the stop of a service by one of a later order.
func (r *Replica) mergeStop(s *Stop, changed map[string]bool) {
	have, known := r.stops[s.Service]
	if !s.valid() || !known && len(r.stops) >= maxServices || s.Order <= have.Order {
		return
	}
	r.stops[s.Service] = *s
	changed[s.Service] = true
}

// rebuildSnapshot rebuilds the snapshot and its digest. The digest leaves out the causes
// of stops: two daemons that stop the same order may give different causes.
func (r *Replica) rebuildSnapshot() {
	r.snapshot = Update{Orders: r.orders}
	h := fnv.New64a()
	number := func(n uint64) { _, _ = h.Write(binary.BigEndian.AppendUint64(nil, n)) } // Write of a hash never fails
	name := func(s string) {
		number(uint64(len(s)))
		_, _ = h.Write([]byte(s))
	}
	number(r.orders.Revision)
	for _, o := range r.orders.List {
		name(o.Service)
		name(o.Version)
		number(o.Revision)
	}
	for _, service := range slices.Sorted(maps.Keys(r.plans)) {
		p := r.plans[service]
		r.snapshot.Plans = append(r.snapshot.Plans, p)
		name(service)
		number(p.Order)
		number(p.Revision)
		number(uint64(p.Phase))
	}
	number(uint64(len(r.plans)))
	for _, service := range slices.Sorted(maps.Keys(r.stops)) {
		r.snapshot.Stops = append(r.snapshot.Stops, r.stops[service])
		name(service)
		number(r.stops[service].Order)
	}
	r.digest = h.Sum64()
}

// Snapshot returns all orders, plans and stops of the replica, for peers. It returns the
// same value until the replica changes.
func (r *Replica) Snapshot() Update { return r.snapshot }

// Digest returns a hash of the snapshot, by which daemons find out whether their
// replicas are equal.
func (r *Replica) Digest() uint64 { return r.digest }

// Order returns the order of a service; ok is false where none is known.
func (r *Replica) Order(service string) (order Order, ok bool) { return r.orders.Of(service) }

// Plan returns the newest plan of a service; ok is false where none is known.
func (r *Replica) Plan(service string) (plan Plan, ok bool) {
	plan, ok = r.plans[service]
	return plan, ok
}

// Stopped returns the stop of a service's current order; ok is false where that order
// was not stopped.
func (r *Replica) Stopped(service string) (stop Stop, ok bool) {
	stop, ok = r.stops[service]
	return stop, ok && stop.Order == r.currentOrderRevision(service)
}

// currentOrderRevision returns the revision of the newest order of a service, which may
// be known from the orders or from the plan alone; 0 where there is none.
func (r *Replica) currentOrderRevision(service string) uint64 {
	order, _ := r.orders.Of(service)
	return max(order.Revision, r.plans[service].Order)
}

// Traffic returns the traffic policy of a service; nil where no roll-out of it is known.
func (r *Replica) Traffic(service string) *TrafficPolicy { return r.policies[service] }

// SetSoleVersion sets the only version of which a service has backend servers; empty
// where it has several or where that is not known. The sole version is what this daemon
// observes and is not sent to peers. changed is true where the service's traffic policy
// was rebuilt.
func (r *Replica) SetSoleVersion(service, version string) (changed bool) {
	if r.soleVersions[service] == version {
		return false
	}
	r.soleVersions[service] = version
	if version == "" {
		delete(r.soleVersions, service)
	}
	if r.policies[service] == nil {
		return false
	}
	r.policies[service] = r.buildPolicy(service)
	return true
}

// buildPolicy returns the traffic policy of a service; nil where no roll-out of it is
// known. A roll-out never bars the service's only version, since no other one could run
// the requests.
func (r *Replica) buildPolicy(service string) *TrafficPolicy {
	policy := r.policyFromRollout(service)
	if sole := r.soleVersions[service]; policy != nil && sole != "" && !policy.permitsAll(sole) {
		return newTrafficPolicy(modeOpen, "", withoutVersion(policy.barred, sole), nil, 0)
	}
	return policy
}

// policyFromRollout returns the policy that follows from the orders, the plan and the
// stop of a service.
func (r *Replica) policyFromRollout(service string) *TrafficPolicy {
	order, ordered := r.orders.Of(service)
	plan, planned := r.plans[service]
	switch {
	case !ordered && !planned:
		return nil
	case !planned:
		return newTrafficPolicy(modeOpen, "", []string{order.Version}, nil, 0)
	case ordered && order.Revision > plan.Order:
		return policyBeforeFirstPlan(&plan, &order)
	case !ordered && r.orders.Revision >= plan.Order, r.stops[service].Order >= plan.Order:
		return policyForAbandonedPlan(&plan)
	}
	return policyForPlan(&plan)
}
