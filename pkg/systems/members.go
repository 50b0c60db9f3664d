package systems

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/platform"
	"github.com/rushramp/rushramp/pkg/tables"
)

// members takes the platform's list over into the table. The list lags, so
// what peers say of themselves goes before it: see news.
type members struct{ *Env }

// Tick implements System.
func (self *members) Tick(_ int64, mail *tables.Mail) {
	if mail.Leave {
		self.Leave()
	}
	if mail.VMs == nil {
		return
	}
	listed := make(map[string]struct{}, len(mail.VMs))
	for _, vm := range mail.VMs {
		listed[vm.ID] = struct{}{}
		self.put(vm)
	}
	self.removeUnlisted(listed)
}

func (self *members) put(vm platform.VM) {
	row, known := self.World.Members.Row(vm.ID)
	wasLeaving := known && self.World.Members.Leaving[row]
	row, changed := self.World.Members.Put(vm)
	if !changed {
		return
	}
	self.World.Touch(vm.Service)
	if vm.ID == self.World.VM {
		self.putSelf(row, vm)
		return
	}
	if !known {
		self.Log.Event(events.MemberJoined, events.F("vm", vm.ID), events.F("data_centre", vm.DataCentre), events.F("service", vm.Service))
	}
	if self.World.Members.Leaving[row] && !wasLeaving {
		self.Log.Event(events.MemberLeaving, events.F("vm", vm.ID), events.F("from", "platform"))
	}
}

// putSelf binds the own row to the executor, and leaves when the platform
// marks this VM as leaving.
func (self *members) putSelf(row int, vm platform.VM) {
	if self.Executor != nil {
		self.World.Members.Route[row].SetRunner(self.Executor)
	}
	if vm.State == platform.VMLeaving {
		self.Leave()
	}
}

func (self *members) removeUnlisted(listed map[string]struct{}) {
	var gone []string
	self.World.Members.Rows(func(row int) {
		id := self.World.Members.VM[row].ID
		if _, ok := listed[id]; !ok {
			gone = append(gone, id)
		}
	})
	for _, id := range gone {
		route := self.World.Members.Remove(id)
		self.World.Touch(route.Service)
		self.Log.Event(events.MemberGone, events.F("vm", id))
	}
}
