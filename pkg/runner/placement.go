package runner

import (
	"net/url"
	"strings"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// placementRefusal refuses a request that this data centre may not handle, whatever the
// entry believed. An entry that decided on a newer version knows better. Source:
// docs/design/regions.md.
func (r *Runner) placementRefusal(c *wire.Call) *errkind.Error {
	route, version := r.findRoute(c.Routed.Host, requestPath(c.URI))
	vm := &r.Settings.VM
	if route == nil || c.Placement > version || route.AllowsLocation(vm.DataCentre, vm.Region) {
		return nil
	}
	return errkind.New(errkind.PlacementStale, "version %d does not let route %s be handled in %s (region %q); the entry had version %d", version, route.Name, vm.DataCentre, vm.Region, c.Placement)
}

// requestPath is the path of a request's target as entries match routes by it. Proxies
// send absolute ones, with a scheme and a host before the path.
func requestPath(target string) string {
	if u, err := url.ParseRequestURI(target); err == nil {
		return u.EscapedPath()
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}
