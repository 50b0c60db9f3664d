package runner

import (
	"net/url"
	"strings"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// placementRefusal refuses a request that the placement does not allow in this data
// centre, unless the entry used a newer version of the placement than this daemon has.
// Source: docs/design/regions.md.
func (r *Runner) placementRefusal(c *wire.Call) *errkind.Error {
	route, version := r.findRoute(c.Routed.Host, requestPath(c.URI))
	vm := &r.Settings.VM
	if route == nil || c.Placement > version || route.AllowsLocation(vm.DataCentre, vm.Region) {
		return nil
	}
	return errkind.New(errkind.PlacementStale, "placement version %d does not allow route %s in data centre %s (region %q); the entry used version %d", version, route.Name, vm.DataCentre, vm.Region, c.Placement)
}

// requestPath returns the path of a request target, by which entries match routes.
// Proxies send targets in absolute form, with scheme and host before the path.
func requestPath(target string) string {
	if u, err := url.ParseRequestURI(target); err == nil {
		return u.EscapedPath()
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}
