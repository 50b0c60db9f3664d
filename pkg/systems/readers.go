package systems

import "github.com/rushramp/rushramp/pkg/utils"

// isReader is true when this daemon is among its data centre's readers of the
// platform. Each daemon works that out by itself from its table of members;
// while tables differ there is a reader more or less, which costs a read or
// some time, and is never wrong.
func (self *Env) isReader() bool {
	mine := utils.Rendezvous(self.World.DataCentre, self.World.VM)
	ahead := 0
	m := self.World.Members
	m.Rows(func(row int) {
		vm := &m.Row[row]
		if vm.DataCentre != self.World.DataCentre || vm.VM == self.World.VM || m.Leaving(row) {
			return
		}
		if utils.Rendezvous(self.World.DataCentre, vm.VM) > mine {
			ahead++
		}
	})
	return ahead < self.Settings.Placement.HeadReaders
}
