package rollout

import (
	"math"
	"slices"
	"strings"
)

const (
	// usedSlots is the part of its slots that a backend server of the old versions is
	// taken to use where it is not known: what gates use at first (routing.use).
	usedSlots = 0.8
	// headroom over what the old versions have in use of late is what the target must
	// have free slots for: requests come unevenly, and gates use 0.8 of the slots.
	headroom = 1.5
	// keptSlots of those that were ready at the switch must still be there to complete.
	keptSlots = 0.8
	// fewCanaries bounds the canaries: of a service of 200 backend servers eight run 4 in
	// 100 of its requests, more than the test needs.
	fewCanaries = 8
	// sameShare is how far the share may be off before the row is written for it.
	sameShare = 0.25
)

func (d *decision) isTarget(s *Server) bool { return s.Version == d.plan.Target }

func (d *decision) isOld(s *Server) bool { return slices.Contains(d.plan.Old, s.Version) }

// slots sums those of ready backend servers; each has one at least.
func (d *decision) slots(of func(*Server) bool) (sum int) {
	for i := range d.servers {
		if s := &d.servers[i]; s.Ready && of(s) {
			sum += s.slots()
		}
	}
	return sum
}

func (s *Server) slots() int { return min(max(s.Slots, 1), math.MaxUint16) }

func (d *decision) count(of func(*Server) bool) (n int) {
	for i := range d.servers {
		if s := &d.servers[i]; s.Ready && of(s) {
			n++
		}
	}
	return n
}

// needed is how many slots the target must have for what the old versions run.
func (d *decision) needed() int {
	sum := 0.0
	for i := range d.servers {
		s := &d.servers[i]
		switch {
		case !s.Ready || !d.isOld(s):
		case s.PeakBusySlots > 0:
			sum += min(headroom*float64(s.PeakBusySlots), float64(s.slots()))
		default:
			sum += usedSlots * float64(s.slots())
		}
	}
	return int(math.Ceil(sum))
}

// others counts the backend servers of all other versions that are not empty, in two
// parts: those in touch, and those that are lost.
func (d *decision) others() (running, lost int) {
	for i := range d.servers {
		switch s := &d.servers[i]; {
		case d.isTarget(s) || s.Version == "" || s.Drained:
		case s.Unreachable:
			lost++
		default:
			running++
		}
	}
	return running, lost
}

// pick chooses the canaries and their share. Those that are canaries and ready stay;
// others follow by the names of their VMs, as many as carry with the largest share
// allowed about the load that they will have after the switch. One at least: it then has
// less load than later.
func (d *decision) pick() (vms []string, perMille uint32) {
	all := max(d.slots(d.isTarget), d.slots(d.isOld))
	most := mostShare(d.order.Duration, d.limits)
	taken := 0
	for _, s := range d.candidates() {
		fits := float64(taken+s.slots()) <= most*float64(all)
		if len(vms) > 0 && (!fits || len(vms) >= fewCanaries) {
			break
		}
		vms = append(vms, s.VM)
		taken += s.slots()
	}
	if len(vms) == 0 {
		return nil, 0
	}
	share := min(most, float64(taken)/float64(all))
	return vms, uint32(max(1000*share, 1))
}

// candidates are the target's ready backend servers, the present canaries first.
func (d *decision) candidates() (out []*Server) {
	for i := range d.servers {
		if s := &d.servers[i]; s.Ready && d.isTarget(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Server) int {
		isA, isB := slices.Contains(d.plan.Canaries, a.VM), slices.Contains(d.plan.Canaries, b.VM)
		switch {
		case isA && !isB:
			return -1
		case isB && !isA:
			return 1
		}
		return strings.Compare(a.VM, b.VM)
	})
	return out
}

// refresh replaces canaries that are not ready any more, and follows the share where
// backend servers come or go.
func (d *decision) refresh() (Plan, bool) {
	vms, perMille := d.pick()
	slices.Sort(vms)
	before := slices.Sorted(slices.Values(d.plan.Canaries))
	off := math.Abs(float64(perMille) - float64(d.plan.PerMille))
	if slices.Equal(vms, before) && off <= sameShare*float64(d.plan.PerMille) {
		return d.plan, false
	}
	d.plan.Canaries, d.plan.PerMille = vms, perMille
	return d.plan, true
}
