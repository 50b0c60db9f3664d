package tables

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/wire"
)

// TestVMShareOfCountsAllVMsOfTheServices checks that VMs without a service do not count.
func TestVMShareOfCountsAllVMsOfTheServices(t *testing.T) {
	view := &View{}
	test.Eq(t, 0.0, view.VMShareOf([]string{"a"}))
	view.SetVMsByService(map[string]int{"": 7})
	test.Eq(t, 0.0, view.VMShareOf([]string{"a"}))
	view.SetVMsByService(map[string]int{"a": 15_000, "b": 5000, "": 7})
	test.Eq(t, 0.75, view.VMShareOf([]string{"a"}))
	test.Eq(t, 1.0, view.VMShareOf([]string{"a", "b"}))
	test.Eq(t, 0.0, view.VMShareOf([]string{"gone"}))
}

// TestVMsAreCountedByService also replaces a record by one with the same service.
func TestVMsAreCountedByService(t *testing.T) {
	w := NewWorld("vm", "a")
	for i := range 40 {
		w.Members.Merge(1, nil, wire.Member{VM: fmt.Sprint(i), DataCentre: "a", Service: []string{"a", "b"}[i%4/3], Slots: 1})
	}
	w.Members.Merge(2, nil, wire.Member{VM: "0", DataCentre: "a", Service: "a", Slots: 2, Revision: 1})
	test.Eq(t, map[string]int{"a": 30, "b": 10}, w.Members.VMsByService())
}
