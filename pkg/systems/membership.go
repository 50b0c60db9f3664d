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
	// rowsPerFrame bounds one frame of members.
	rowsPerFrame = 500
	// unlistedAfter is how long a member that the list never showed may be
	// unlisted: the list lags, and others may have seen a newer one.
	unlistedAfter = 2 * time.Minute
	// missingReads is how many reads of the list in a row must miss a member
	// before it counts as gone.
	missingReads = 2
	// refuteEvery is the least time between two refutations of this daemon.
	refuteEvery = 30 * time.Second
)

// membership keeps the table of membership: from the platform's list, which a few
// daemons a data centre read, and from what daemons pass on. Source:
// docs/design/membership.md.
type membership struct {
	*Env
	refute intervalTimer
	// introduced is true once the own row stands in the table.
	introduced bool
}

// Tick implements System.
func (me *membership) Tick(now int64, mail *tables.Mail) {
	if mail.Leave {
		me.Leave()
	}
	me.introduce(now)
	if mail.VMList != nil {
		me.takeList(now, mail.VMList)
	}
	for _, m := range mail.Members {
		for _, row := range m.Rows {
			me.merge(now, m.Peer, row)
		}
	}
	me.refuteGone(now)
	for _, ask := range mail.MembersAsks {
		sendMembers(ask.Peer, me.World.Members.DifferingRows(ask.Buckets))
	}
}

// introduce puts this daemon's own row into the table at its first tick, where
// daemons write the list themselves.
func (me *membership) introduce(now int64) {
	if me.Registrar == nil || me.introduced {
		return
	}
	me.introduced = true
	s := me.Settings
	me.merge(now, nil, me.ownRow(wire.Member{
		VM: s.VM.ID, Incarnation: me.Control.Incarnation(), Region: s.VM.Region, DataCentre: s.VM.DataCentre,
		Service: s.BackendServer.Service, Links: s.Listen.Links, Callers: s.Listen.Callers,
		Slots: uint32(s.BackendServer.Slots), Revision: 1,
	}))
}

func (me *membership) takeList(now int64, list *tables.VMList) {
	listed := make(map[string]struct{}, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.ID] = struct{}{}
		me.merge(now, nil, me.rowOf(vm))
		if row, ok := me.World.Members.Find(vm.ID); ok {
			me.World.Members.Listed[row] = true
			me.World.Members.MissedReads[row] = 0
		}
	}
	if me.Registrar == nil {
		// A list that daemons write themselves never takes anybody out.
		me.buryUnlisted(now, list.DataCentre, listed)
	}
}

// rowOf turns a VM of the list into a row. The list knows VMs, not processes:
// what it says holds for the newest process that is known.
func (me *membership) rowOf(vm store.VM) wire.Member {
	out := wire.Member{
		VM: vm.ID, Started: vm.Started, Region: vm.Region, DataCentre: vm.DataCentre,
		Service: vm.Service, Links: vm.Links, Callers: vm.Callers, Slots: uint32(max(vm.Slots, 0)),
	}
	if vm.State == store.VMLeaving {
		out.State = wire.MemberLeaving
	}
	if row, ok := me.World.Members.Find(vm.ID); ok && me.World.Members.Record[row].Started == vm.Started {
		out.Incarnation = me.World.Members.Record[row].Incarnation
		out.Revision = me.World.Members.Record[row].Revision
		out.Backend = me.World.Members.Record[row].Backend
		out.Version = me.World.Members.Record[row].Version
	}
	return out
}

// buryUnlisted takes out what the list has shown before and shows no more.
func (me *membership) buryUnlisted(now int64, dataCentre string, listed map[string]struct{}) {
	var gone []wire.Member
	m := me.World.Members
	m.EachRow(func(row int) {
		_, ok := listed[m.Record[row].VM]
		mayKnow := m.Listed[row] || now-m.AddedAt[row] > int64(unlistedAfter)
		elsewhere := dataCentre != "" && m.Record[row].DataCentre != dataCentre
		// A daemon does not bury itself: it knows better.
		if ok || !mayKnow || elsewhere || m.Record[row].VM == me.World.VM {
			return
		}
		if m.MissedReads[row]++; m.MissedReads[row] < missingReads {
			return
		}
		dead := m.Record[row]
		dead.State = wire.MemberGone
		gone = append(gone, dead)
	})
	for _, dead := range gone {
		me.merge(now, nil, dead)
	}
}

func (me *membership) merge(now int64, from *link.Peer, said wire.Member) {
	ended, changed := me.World.Members.Merge(now, from, said)
	if !changed {
		return
	}
	me.World.MarkDirty(said.Service)
	if ended != nil {
		me.World.MarkDirty(ended.Service)
	}
	me.note(said)
	if said.VM == me.World.VM {
		me.aboutSelf(now, said)
	}
}

func (me *membership) note(said wire.Member) {
	vm := events.F("vm", said.VM)
	switch said.State {
	case wire.MemberLive:
		me.Log.Event(events.MemberJoined, vm, events.F("data_centre", said.DataCentre), events.F("service", said.Service))
	case wire.MemberLeaving:
		me.Log.Event(events.MemberLeaving, vm)
	case wire.MemberGone:
		me.Log.Event(events.MemberGone, vm)
	}
}

// aboutSelf looks at what is said of this daemon: it binds the own row to the
// runner, answers what is said of an older process with its own incarnation,
// and leaves when the platform marks this VM as leaving. Only the platform's
// list says so without an incarnation.
func (me *membership) aboutSelf(now int64, said wire.Member) {
	if row, ok := me.World.Members.Find(me.World.VM); ok && me.Runner != nil {
		me.World.Members.Endpoint[row].SetRunner(me.Runner)
	}
	own := me.Control.Incarnation()
	switch {
	case said.State == wire.MemberGone:
		// refuteGone answers, not too often.
	case said.Incarnation < own:
		marked := said.State == wire.MemberLeaving && said.Incarnation == 0
		said.Incarnation = own
		if !marked {
			said.State = wire.MemberLive
		}
		me.merge(now, nil, me.ownRow(said))
	case said.Incarnation > own:
		// An older process of this VM counted further, as after a step of the
		// wall clock: this one goes before it.
		me.Control.incarnation.Store(said.Incarnation + 1)
		said.Incarnation++
		said.State = wire.MemberLive
		me.merge(now, nil, me.ownRow(said))
	case said.State == wire.MemberLeaving:
		me.Leave()
	}
}

// ownRow is a row of this daemon with what only it knows.
func (me *membership) ownRow(said wire.Member) wire.Member {
	if me.Backend == nil {
		return said
	}
	said.Backend, said.Version = me.backendState(), me.Backend.Version()
	return said
}

// refuteGone answers the news that this daemon is gone while it lives, with a
// newer incarnation, as in the SWIM paper. A list that flaps must not bury a
// VM for as long as its tombstone stands.
func (me *membership) refuteGone(now int64) {
	stone, buried := me.World.Members.Tombstone(me.World.VM)
	if !buried || me.World.View.Leaving() || !me.refute.fires(now, refuteEvery) {
		return
	}
	me.Metrics.GetOrCreateCounter("rushramp_members_refuted_total").Inc()
	me.Control.incarnation.Store(max(stone.Incarnation, me.Control.Incarnation()) + 1)
	stone.State = wire.MemberLive
	stone.Incarnation = me.Control.Incarnation()
	me.merge(now, nil, stone)
}

func sendMembers(peer *link.Peer, rows []wire.Member) {
	for len(rows) > 0 {
		n := min(len(rows), rowsPerFrame)
		// A peer that is gone asks again over another link.
		_ = peer.Send(&wire.Members{Rows: rows[:n]})
		rows = rows[n:]
	}
}
