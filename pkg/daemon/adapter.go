package daemon

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/ingress"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/store"
)

// Adapter connects a daemon to the platform that it runs on. Fields for what a platform
// does not have are nil.
type Adapter struct {
	Store store.Platform
	// Feed is set if operators write placements to the platform's store themselves.
	Feed placement.Feed
	// Registrar is set if daemons write the list of VMs themselves.
	Registrar store.Registrar
	// Callers and Backend are the platform's names of the headers that callers and backend
	// servers send and receive.
	Callers ingress.Headers
	Backend backend.Headers
	// Announcements returns the HTTP handler for announcements of backend servers.
	Announcements func(backend.AnnouncementHandler) http.Handler
	// Rollouts stores the plans of the roll-outs that operators order.
	Rollouts rollout.PlanStore
	// Clock returns the time by the clock of roll-out deadlines; nil if only the store has
	// that clock.
	Clock func() time.Duration
	// OnInvalidInput registers a callback for rows of the store that are invalid; nil if
	// only daemons and operators write to the store.
	OnInvalidInput func(callback func(what string, err error))
	// OnStoreRestored registers a callback for when the store was restored from an older
	// copy and has lost the newest rows; nil if this never happens.
	OnStoreRestored func(callback func())
	// Bounds are the limits that the platform sets for all daemons.
	Bounds Bounds
}

// AdapterFactory returns the adapter for one platform with the given settings.
type AdapterFactory func(*settings.Settings) (*Adapter, error)

// Adapters holds the platforms that a program knows, by the name in settings platform.form.
type Adapters map[string]AdapterFactory

// httpForm is the value of settings platform.form for rushramp's own HTTP interface.
const httpForm = "http"

// errVersionInSettings is the error for the setting backend_server.version on a daemon whose
// backend server announces its version.
var errVersionInSettings = errors.New("backend_server.version: backend servers of routed requests announce their version. Leave it out, or leave out listen.routed.")

// adapter returns the adapter that settings platform.form names.
func (a Adapters) adapter(s *settings.Settings) (*Adapter, error) {
	if s.Platform.Form == httpForm {
		return newHTTPAdapter(s)
	}
	if s.BackendServer.Version != "" {
		return nil, errVersionInSettings
	}
	factory, ok := a[s.Platform.Form]
	if !ok {
		return nil, errors.Errorf("platform.form: this program has no adapter for platform %q. Give %q, or use a program that was built with the adapter.", s.Platform.Form, httpForm)
	}
	return factory(s)
}

// newHTTPAdapter returns the adapter for rushramp's own HTTP interface.
func newHTTPAdapter(s *settings.Settings) (*Adapter, error) {
	client := store.NewHTTPClient(s.Platform.Address, s.Platform.Timeout)
	// This store has no clock. The clocks of VMs are synchronised over the network.
	wallClock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	if s.BackendServer.Version != "" && s.Listen.Routed != "" {
		return nil, errVersionInSettings
	}
	out := &Adapter{
		Store: client, Rollouts: rollout.NewTablePlanStore(client, wallClock), Clock: wallClock,
		Callers: ingress.DefaultHeaders(), Backend: backend.DefaultHeaders(),
	}
	if s.BackendServer.Version != "" {
		out.Bounds = httpBounds()
	}
	return out, nil
}
