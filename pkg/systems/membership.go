package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// firstRevision is the revision of the first record that a daemon writes of itself. It is
	// above that of the records that others make of its process from a link's greeting.
	firstRevision = 1
	// maxRowsPerFrame is the largest number of records in one frame.
	maxRowsPerFrame = 500
	// unlistedGracePeriod is how long a member that the list of VMs has never contained
	// may be missing from it. The list lags behind, and other daemons may have read a
	// newer one.
	unlistedGracePeriod = 2 * time.Minute
	// maxMissedReads is how many consecutive reads of the list must lack a member before
	// it is removed.
	maxMissedReads = 2
	// refuteInterval is the least time between two refutations by this daemon.
	refuteInterval = 30 * time.Second
)

// membership updates the table of members from the platform's list of VMs, which a few
// daemons of each data centre read, and from the records that peers send. Source:
// docs/design/members.md.
type membership struct {
	*Env
	refuteTimer intervalTimer
	// ownRowAdded is true once this daemon has added its own row.
	ownRowAdded bool
}

// Tick implements System.
func (ms *membership) Tick(now int64, mail *tables.Mail) {
	if mail.Leave {
		ms.Leave()
	}
	ms.addOwnRow(now)
	if mail.VMList != nil {
		ms.mergeList(now, mail.VMList)
	}
	for _, m := range mail.Members {
		for _, row := range m.Rows {
			ms.merge(now, m.Peer, row)
		}
	}
	ms.refuteGone(now)
	for _, ask := range mail.MembersAsks {
		sendMembers(ask.Peer, ms.World.Members.DifferingRows(ask.Buckets))
	}
}

// addOwnRow adds this daemon's own row at its first tick, if daemons write the list
// themselves.
func (ms *membership) addOwnRow(now int64) {
	if ms.Registrar == nil || ms.ownRowAdded {
		return
	}
	ms.ownRowAdded = true
	s := ms.Settings
	ms.merge(now, nil, ms.withBackendState(wire.Member{
		VM: s.VM.ID, Incarnation: ms.Control.Incarnation(), Region: s.VM.Region, DataCentre: s.VM.DataCentre,
		Service: s.BackendServer.Service, LinkAddress: s.Listen.Links, CallerAddress: s.Listen.Callers,
		Slots: uint32(s.BackendServer.Slots), Revision: firstRevision,
	}))
}

// mergeList merges a read of the list of VMs.
func (ms *membership) mergeList(now int64, list *tables.VMList) {
	listed := make(map[string]struct{}, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.ID] = struct{}{}
		if ms.Registrar == nil || !ms.knownFromItself(vm.ID) {
			ms.merge(now, nil, ms.recordOf(vm))
		}
		if row, ok := ms.World.Members.Find(vm.ID); ok {
			ms.World.Members.Listed[row] = true
			ms.World.Members.MissedReads[row] = 0
		}
	}
	if ms.Registrar == nil {
		// A list that daemons write themselves never removes a member.
		ms.removeUnlisted(now, list.DataCentre, listed)
	}
}

// knownFromItself reports whether the record of a VM comes from a process that runs or ran there.
// It is newer than the entry that the VM has written of itself, so that an entry that differs
// comes from another writer.
func (ms *membership) knownFromItself(vm string) bool {
	row, ok := ms.World.Members.Find(vm)
	return vm == ms.World.VM || ok && ms.World.Members.Record[row].Incarnation > 0
}

// recordOf converts an entry of the list of VMs to a record. The list does not know
// processes, so the entry counts as a statement about the newest known process of the VM.
func (ms *membership) recordOf(vm store.VM) wire.Member {
	out := wire.Member{
		VM: vm.ID, Started: vm.Started, Region: vm.Region, DataCentre: vm.DataCentre,
		Service: vm.Service, LinkAddress: vm.Links, CallerAddress: vm.Callers, Slots: uint32(max(vm.Slots, 0)),
	}
	if ms.Registrar != nil {
		// Daemons write neither: a record of this kind would outlast each record of the VM.
		out.Started = 0
		return out
	}
	if vm.State == store.VMLeaving {
		out.State = wire.MemberLeaving
	}
	if row, ok := ms.World.Members.Find(vm.ID); ok && ms.World.Members.Record[row].Started == vm.Started {
		out.Incarnation = ms.World.Members.Record[row].Incarnation
		out.Revision = ms.World.Members.Record[row].Revision
		out.Backend = ms.World.Members.Record[row].Backend
		out.Version = ms.World.Members.Record[row].Version
	}
	return out
}

// removeUnlisted removes members that the list no longer contains.
func (ms *membership) removeUnlisted(now int64, dataCentre string, listed map[string]struct{}) {
	var gone []wire.Member
	m := ms.World.Members
	m.EachRow(func(row int) {
		_, ok := listed[m.Record[row].VM]
		listIsDecisive := m.Listed[row] || now-m.AddedAt[row] > int64(unlistedGracePeriod)
		outsideList := dataCentre != "" && m.Record[row].DataCentre != dataCentre
		// A daemon does not remove itself: it knows that it runs.
		if ok || !listIsDecisive || outsideList || m.Record[row].VM == ms.World.VM {
			return
		}
		if m.MissedReads[row]++; m.MissedReads[row] < maxMissedReads {
			return
		}
		removed := m.Record[row]
		removed.State = wire.MemberGone
		gone = append(gone, removed)
	})
	for _, removed := range gone {
		ms.merge(now, nil, removed)
	}
}

func (ms *membership) merge(now int64, from *link.Peer, record wire.Member) {
	removed, changed := ms.World.Members.Merge(now, from, record)
	if !changed {
		return
	}
	ms.World.MarkDirty(record.Service)
	if removed != nil {
		ms.World.MarkDirty(removed.Service)
	}
	ms.logChange(record)
	if record.VM == ms.World.VM {
		ms.handleOwnRecord(now, record)
	}
}

func (ms *membership) logChange(record wire.Member) {
	vm := events.F("vm", record.VM)
	switch record.State {
	case wire.MemberLive:
		ms.Log.Event(events.MemberJoined, vm, events.F("data_centre", record.DataCentre), events.F("service", record.Service))
	case wire.MemberLeaving:
		ms.Log.Event(events.MemberLeaving, vm)
	case wire.MemberGone:
		ms.Log.Event(events.MemberGone, vm)
	}
}

// handleOwnRecord handles a record of this daemon that changed the table. It sets the
// runner of the own endpoint, and replaces a record of another process of this VM by one
// of this process, which takes a higher incarnation if necessary. It leaves if the
// platform's list marks this VM as leaving, which is the only source of that state with
// incarnation 0; that an earlier process was leaving does not count.
func (ms *membership) handleOwnRecord(now int64, record wire.Member) {
	if row, ok := ms.World.Members.Find(ms.World.VM); ok && ms.Runner != nil {
		ms.World.Members.Endpoint[row].SetRunner(ms.Runner)
	}
	ownIncarnation := ms.Control.Incarnation()
	switch {
	case record.State == wire.MemberGone:
		// refuteGone handles this, at most once per refuteInterval.
	case record.Incarnation < ownIncarnation:
		markedByPlatform := record.State == wire.MemberLeaving && record.Incarnation == 0
		record.Incarnation, record.Revision = ownIncarnation, firstRevision
		if !markedByPlatform {
			record.State = wire.MemberLive
		}
		ms.merge(now, nil, ms.withBackendState(record))
	case record.Incarnation > ownIncarnation:
		// An earlier process of this VM had a higher incarnation, for instance because
		// the clock was set back since. This process takes the next one.
		ms.Control.incarnation.Store(record.Incarnation + 1)
		record.Incarnation++
		record.Revision = firstRevision
		record.State = wire.MemberLive
		ms.merge(now, nil, ms.withBackendState(record))
	case record.State == wire.MemberLeaving:
		ms.Leave()
	}
}

// withBackendState returns a record of this daemon with the current state and version of
// its backend server.
func (ms *membership) withBackendState(record wire.Member) wire.Member {
	if ms.Backend == nil {
		return record
	}
	record.Backend, record.Version = ms.backendState(), ms.Backend.Version()
	return record
}

// refuteGone adds this daemon to the table again, with a higher incarnation, if it was
// removed although it runs, like a refutation in the SWIM protocol. Otherwise a flapping
// list would keep a VM out for as long as its tombstone lasts.
func (ms *membership) refuteGone(now int64) {
	tombstone, found := ms.World.Members.Tombstone(ms.World.VM)
	if !found || ms.World.View.Leaving() || !ms.refuteTimer.fires(now, refuteInterval) {
		return
	}
	ms.Metrics.GetOrCreateCounter("rushramp_members_refuted_total").Inc()
	ms.Control.incarnation.Store(max(tombstone.Incarnation, ms.Control.Incarnation()) + 1)
	tombstone.State = wire.MemberLive
	tombstone.Incarnation, tombstone.Revision = ms.Control.Incarnation(), firstRevision
	ms.merge(now, nil, tombstone)
}

func sendMembers(peer *link.Peer, rows []wire.Member) {
	for len(rows) > 0 {
		n := min(len(rows), maxRowsPerFrame)
		// After a failure the peer requests the rows again over another link.
		_ = peer.Send(&wire.Members{Rows: rows[:n]})
		rows = rows[n:]
	}
}
