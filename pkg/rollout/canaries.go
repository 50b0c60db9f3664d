package rollout

import (
	"math"
	"slices"
	"strings"
)

const (
	// assumedSlotUse is the share of its slots that a backend server of the old versions
	// is assumed to use where PeakBusySlots is not known: the share that gates use
	// at first (routing.use).
	assumedSlotUse = 0.8
	// slotHeadroom multiplies the slots that the old versions use to give the slots that
	// the target needs: requests come unevenly, and gates use 0.8 of the slots.
	slotHeadroom = 1.5
	// minReadyShare is the share of the target's slots at the switch that must be ready for
	// the roll-out to complete.
	minReadyShare = 0.8
	// maxPlannedCanaries is the largest number of canaries that a plan picks. In a
	// service with 200 backend servers, eight run 4% of the requests, more than the test
	// needs.
	maxPlannedCanaries = 8
	// shareTolerance is the relative change of the canaries' share below which the plan is
	// not written again.
	shareTolerance = 0.25
)

func (d *decision) isTarget(s *Server) bool { return s.Version == d.plan.Target }

func (d *decision) isOld(s *Server) bool { return slices.Contains(d.plan.Old, s.Version) }

// readySlots sums the slots of the ready backend servers for which match is true.
func (d *decision) readySlots(match func(*Server) bool) (sum int) {
	for i := range d.servers {
		if s := &d.servers[i]; s.Ready && match(s) {
			sum += s.slotCount()
		}
	}
	return sum
}

// slotCount returns the slots of a backend server, at least one.
func (s *Server) slotCount() int { return min(max(s.Slots, 1), math.MaxUint16) }

// readyServers counts the ready backend servers for which match is true.
func (d *decision) readyServers(match func(*Server) bool) (n int) {
	for i := range d.servers {
		if s := &d.servers[i]; s.Ready && match(s) {
			n++
		}
	}
	return n
}

// neededSlots returns how many slots the target needs to run the requests of the old
// versions.
func (d *decision) neededSlots() int {
	sum := 0.0
	for i := range d.servers {
		s := &d.servers[i]
		switch {
		case !s.Ready || !d.isOld(s):
		case s.PeakBusySlots > 0:
			sum += min(slotHeadroom*float64(s.PeakBusySlots), float64(s.slotCount()))
		default:
			sum += assumedSlotUse * float64(s.slotCount())
		}
	}
	return int(math.Ceil(sum))
}

// undrainedOthers counts the backend servers of versions other than the target that are
// not drained: running counts the reachable ones, unreachable the rest.
func (d *decision) undrainedOthers() (running, unreachable int) {
	for i := range d.servers {
		switch s := &d.servers[i]; {
		case d.isTarget(s) || s.Version == "" || s.Drained:
		case s.Unreachable:
			unreachable++
		default:
			running++
		}
	}
	return running, unreachable
}

// pickCanaries returns the VMs of the canaries and their share of the requests in
// thousandths. It adds candidates while their part of all slots is within maxCanaryShare,
// so that each slot has about the load that it will have after the switch. It picks at
// least one and at most maxPlannedCanaries. Where the part of a single candidate exceeds
// maxCanaryShare, its share of the requests is maxCanaryShare nevertheless.
func (d *decision) pickCanaries() (vms []string, perMille uint32) {
	all := max(d.readySlots(d.isTarget), d.readySlots(d.isOld))
	maxShare := maxCanaryShare(d.order.Duration, d.limits)
	taken := 0
	for _, s := range d.canaryCandidates() {
		fits := float64(taken+s.slotCount()) <= maxShare*float64(all)
		if len(vms) > 0 && (!fits || len(vms) >= maxPlannedCanaries) {
			break
		}
		vms = append(vms, s.VM)
		taken += s.slotCount()
	}
	if len(vms) == 0 {
		return nil, 0
	}
	share := min(maxShare, float64(taken)/float64(all))
	return vms, uint32(max(1000*share, 1))
}

// canaryCandidates returns the target's ready backend servers: first the present
// canaries, then the others, each group sorted by VM.
func (d *decision) canaryCandidates() (out []*Server) {
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

// updateCanaries replaces canaries that are no longer ready, and adapts their share where
// backend servers have joined or left.
func (d *decision) updateCanaries() (Plan, bool) {
	vms, perMille := d.pickCanaries()
	slices.Sort(vms)
	before := slices.Sorted(slices.Values(d.plan.Canaries))
	difference := math.Abs(float64(perMille) - float64(d.plan.PerMille))
	if slices.Equal(vms, before) && difference <= shareTolerance*float64(d.plan.PerMille) {
		return d.plan, false
	}
	d.plan.Canaries, d.plan.PerMille = vms, perMille
	return d.plan, true
}
