package tables

import (
	"sync/atomic"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/platform"
)

// Route is what the hot path needs of a member that guards a backend server.
// A row keeps its Route as long as the VM is known.
type Route struct {
	// VM, Service, DataCentre and the addresses never change.
	VM         string
	Service    string
	DataCentre string
	Links      string
	Callers    string
	Load       *Load
	runner     atomic.Pointer[call.Runner]
}

// SetRunner says who runs calls of this route; nil when there is no link.
func (self *Route) SetRunner(r call.Runner) {
	if r == nil {
		self.runner.Store(nil)
		return
	}
	self.runner.Store(&r)
}

// Runner returns who runs calls of this route, or nil.
func (self *Route) Runner() call.Runner {
	if r := self.runner.Load(); r != nil {
		return *r
	}
	return nil
}

// Members is the table of VMs, one row each, columns by row number. Rows of
// VMs that are gone are used again.
type Members struct {
	VM          []platform.VM
	Leaving     []bool
	Incarnation []uint64
	Route       []*Route
	inUse       []bool
	free        []int
	byID        map[string]int
	byService   map[string]map[int]struct{}
}

// NewMembers makes an empty table.
func NewMembers() *Members {
	return &Members{byID: map[string]int{}, byService: map[string]map[int]struct{}{}}
}

// Len counts the rows in use.
func (self *Members) Len() int { return len(self.byID) }

// Row returns the row of a VM; ok is false when it is not known.
func (self *Members) Row(id string) (row int, ok bool) {
	row, ok = self.byID[id]
	return row, ok
}

// Rows calls do for each row in use, in no particular order.
func (self *Members) Rows(do func(row int)) {
	for row, used := range self.inUse {
		if used {
			do(row)
		}
	}
}

// Service calls do for each member of a service.
func (self *Members) Service(name string, do func(row int)) {
	for row := range self.byService[name] {
		do(row)
	}
}

// ServiceLen counts the members of a service.
func (self *Members) ServiceLen(name string) int { return len(self.byService[name]) }

// Put adds a VM, or takes over what changed of a known one. changed is false
// when nothing did.
func (self *Members) Put(vm platform.VM) (row int, changed bool) {
	row, known := self.byID[vm.ID]
	if !known {
		return self.add(vm), true
	}
	if self.VM[row] == vm {
		return row, false
	}
	if moved(self.VM[row], vm) {
		// The same name stands for another process now.
		self.Remove(vm.ID)
		return self.add(vm), true
	}
	self.VM[row] = vm
	self.Leaving[row] = self.Leaving[row] || vm.State == platform.VMLeaving
	return row, true
}

func moved(old, now platform.VM) bool {
	return old.Links != now.Links || old.Service != now.Service || old.DataCentre != now.DataCentre
}

func (self *Members) add(vm platform.VM) int {
	route := &Route{
		VM: vm.ID, Service: vm.Service, DataCentre: vm.DataCentre,
		Links: vm.Links, Callers: vm.Callers, Load: NewLoad(vm.Slots),
	}
	row := self.newRow()
	self.VM[row] = vm
	self.Leaving[row] = vm.State == platform.VMLeaving
	self.Incarnation[row] = 0
	self.Route[row] = route
	self.inUse[row] = true
	self.byID[vm.ID] = row
	if self.byService[vm.Service] == nil {
		self.byService[vm.Service] = map[int]struct{}{}
	}
	self.byService[vm.Service][row] = struct{}{}
	return row
}

func (self *Members) newRow() int {
	if n := len(self.free); n > 0 {
		row := self.free[n-1]
		self.free = self.free[:n-1]
		return row
	}
	self.VM = append(self.VM, platform.VM{})
	self.Leaving = append(self.Leaving, false)
	self.Incarnation = append(self.Incarnation, 0)
	self.Route = append(self.Route, nil)
	self.inUse = append(self.inUse, false)
	return len(self.VM) - 1
}

// Remove takes a VM out. It returns its route, or nil when it was not known.
func (self *Members) Remove(id string) *Route {
	row, ok := self.byID[id]
	if !ok {
		return nil
	}
	route := self.Route[row]
	delete(self.byID, id)
	delete(self.byService[route.Service], row)
	self.inUse[row] = false
	self.Route[row] = nil
	self.free = append(self.free, row)
	return route
}
