package systems

import "github.com/rushramp/rushramp/pkg/utils"

// isReader is true when this daemon is among its data centre's readers of the
// platform. Each daemon works that out by itself from its table of members;
// while tables differ there is a reader more or less, which costs a read or
// some time, and is never wrong.
func (e *Env) isReader() bool { return e.aheadInDataCentre() < e.Settings.Placement.HeadReaders }

// aheadInDataCentre counts the members of this data centre that come before this
// daemon by rendezvous hash.
func (e *Env) aheadInDataCentre() int {
	mine := utils.Rendezvous(e.World.DataCentre, e.World.VM)
	ahead := 0
	m := e.World.Members
	m.Rows(func(row int) {
		vm := &m.Row[row]
		if vm.DataCentre != e.World.DataCentre || vm.VM == e.World.VM || m.Leaving(row) {
			return
		}
		if utils.Rendezvous(e.World.DataCentre, vm.VM) > mine {
			ahead++
		}
	})
	return ahead
}
