package rollout

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

// Replica is what one daemon knows of roll-outs. Only the goroutine that runs the systems
// touches it. What it holds only ever moves on, by a total order for each part (orders
// by the revision of their set, plans by Supersedes, stops by their order), so that
// books that heard the same news in any order hold the same.
type Replica struct {
	orders  Orders
	plans   map[string]Plan
	stops   map[string]Stop
	traffic map[string]*TrafficPolicy
	// lone is the only version that a service has, by service; none where it has more,
	// or where that is not known.
	lone map[string]string
	// news and digest are made anew where something changed.
	news   Update
	digest uint64
}

// NewReplica makes an empty book.
func NewReplica() *Replica {
	b := &Replica{plans: map[string]Plan{}, stops: map[string]Stop{}, traffic: map[string]*TrafficPolicy{}, lone: map[string]string{}}
	b.seal()
	return b
}

// Merge takes over what is newer than what the book holds. It returns the services
// of which something changed; none where everything was known. News beyond the bounds
// is passed over.
func (b *Replica) Merge(news Update) (changed []string) {
	touched := map[string]bool{}
	moved := b.takeOrders(news.Orders, touched)
	for i := range news.Plans {
		b.takePlan(&news.Plans[i], touched)
	}
	for i := range news.Stops {
		b.takeStop(&news.Stops[i], touched)
	}
	if !moved && len(touched) == 0 {
		return nil
	}
	for service := range touched {
		b.traffic[service] = b.makeTraffic(service)
	}
	b.seal()
	return slices.Sorted(maps.Keys(touched))
}

func (b *Replica) takeOrders(orders Orders, touched map[string]bool) (moved bool) {
	if orders.Revision <= b.orders.Revision || !orders.valid() {
		return false
	}
	before := b.orders
	b.orders = Orders{Revision: orders.Revision, List: slices.Clone(orders.List)}
	for _, o := range before.List {
		if now, found := b.orders.Of(o.Service); !found || now != o {
			touched[o.Service] = true
		}
	}
	for _, o := range b.orders.List {
		if _, found := before.Of(o.Service); !found {
			touched[o.Service] = true
		}
	}
	// A set as new as a plan that holds no order for it says that it was taken away.
	for service, p := range b.plans {
		_, found := b.orders.Of(service)
		if !found && before.Revision < p.Order && p.Order <= b.orders.Revision {
			touched[service] = true
		}
	}
	return true
}

func (b *Replica) takePlan(p *Plan, touched map[string]bool) {
	have, known := b.plans[p.Service]
	if !p.valid() || !known && len(b.plans) >= mostServices || known && !p.Supersedes(&have) {
		return
	}
	b.plans[p.Service] = *p
	touched[p.Service] = true
}

func (b *Replica) takeStop(s *Stop, touched map[string]bool) {
	have, known := b.stops[s.Service]
	if !s.valid() || !known && len(b.stops) >= mostServices || s.Order <= have.Order {
		return
	}
	b.stops[s.Service] = *s
	touched[s.Service] = true
}

// seal makes the news and its digest after a change. The digest leaves causes out:
// two that stop the same order may give different ones.
func (b *Replica) seal() {
	b.news = Update{Orders: b.orders}
	h := fnv.New64a()
	number := func(n uint64) { _, _ = h.Write(binary.BigEndian.AppendUint64(nil, n)) } // a hash's Write never fails
	name := func(s string) {
		number(uint64(len(s)))
		_, _ = h.Write([]byte(s))
	}
	number(b.orders.Revision)
	for _, o := range b.orders.List {
		name(o.Service)
		name(o.Version)
		number(o.Revision)
	}
	for _, service := range slices.Sorted(maps.Keys(b.plans)) {
		p := b.plans[service]
		b.news.Plans = append(b.news.Plans, p)
		name(service)
		number(p.Order)
		number(p.Revision)
		number(uint64(p.Phase))
	}
	number(uint64(len(b.plans)))
	for _, service := range slices.Sorted(maps.Keys(b.stops)) {
		b.news.Stops = append(b.news.Stops, b.stops[service])
		name(service)
		number(b.stops[service].Order)
	}
	b.digest = h.Sum64()
}

// Snapshot is all that the book holds, for peers: the same value until something changes.
func (b *Replica) Snapshot() Update { return b.news }

// Digest is one number for News: two books that hold the same have the same.
func (b *Replica) Digest() uint64 { return b.digest }

// Order is what is known of a service's order; ok is false for nothing.
func (b *Replica) Order(service string) (order Order, ok bool) { return b.orders.Of(service) }

// Plan returns the newest plan of a service.
func (b *Replica) Plan(service string) (plan Plan, ok bool) {
	plan, ok = b.plans[service]
	return plan, ok
}

// Stopped returns the stop of the order in force of a service.
func (b *Replica) Stopped(service string) (stop Stop, ok bool) {
	stop, ok = b.stops[service]
	return stop, ok && stop.Order == b.inForce(service)
}

// inForce is the revision of the newest order of a service that is known of, from
// the orders or from its plan; 0: none.
func (b *Replica) inForce(service string) uint64 {
	order, _ := b.orders.Of(service)
	return max(order.Revision, b.plans[service].Order)
}

// Traffic is what the hot path needs for a service; nil: no roll-out of it is known.
func (b *Replica) Traffic(service string) *TrafficPolicy { return b.traffic[service] }

// SetSoleVersion says which version is the only one that a service has; empty: it has more,
// or that is not known. It is what this daemon sees, no news for peers. changed is true
// where it lets another version run.
func (b *Replica) SetSoleVersion(service, version string) (changed bool) {
	if b.lone[service] == version {
		return false
	}
	b.lone[service] = version
	if version == "" {
		delete(b.lone, service)
	}
	if b.traffic[service] == nil {
		return false
	}
	b.traffic[service] = b.makeTraffic(service)
	return true
}

// makeTraffic puts together what is known of a service. No roll-out bars the only
// version that there is: nobody else would run the requests.
func (b *Replica) makeTraffic(service string) *TrafficPolicy {
	t := b.ordered(service)
	if lone := b.lone[service]; t != nil && lone != "" && !t.carries(lone) {
		return newTraffic(open, "", without(t.shut, lone), nil, 0)
	}
	return t
}

// ordered is the traffic by the orders, plans and stops.
func (b *Replica) ordered(service string) *TrafficPolicy {
	order, ordered := b.orders.Of(service)
	plan, planned := b.plans[service]
	switch {
	case !ordered && !planned:
		return nil
	case !planned:
		return newTraffic(open, "", []string{order.Version}, nil, 0)
	case ordered && order.Revision > plan.Order:
		return trafficBetween(&plan, &order)
	case !ordered && b.orders.Revision >= plan.Order, b.stops[service].Order >= plan.Order:
		return trafficLeft(&plan)
	}
	return trafficOf(&plan)
}
