package runner

import (
	"strings"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// misplaced refuses a request that this data centre may not handle, whatever the
// entry believed. An entry that decided on a newer version knows better. Source:
// docs/design/regions.md.
func (r *Runner) misplaced(c *wire.Call) *errkind.Error {
	path, _, _ := strings.Cut(c.URI, "?")
	route, version := r.route(c.Routed.Host, path)
	vm := &r.Settings.VM
	if route == nil || c.Placement > version || route.AllowsHere(vm.DataCentre, vm.Region) {
		return nil
	}
	return errkind.New(errkind.PlacementStale, "version %d does not let route %s be handled in %s (region %q); the entry had version %d", version, route.Name, vm.DataCentre, vm.Region, c.Placement)
}
