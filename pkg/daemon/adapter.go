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

// Adapter is what a daemon needs of the platform it runs on. What a platform
// does not have stays nil.
type Adapter struct {
	Store store.Platform
	// Feed is set where operators write placements to the store themselves.
	Feed placement.Feed
	// Registrar is set where daemons write the list of VMs themselves.
	Registrar store.Registrar
	// Callers and Backend are how the platform spells the headers.
	Callers ingress.Headers
	Backend backend.Headers
	// Announcements makes the handler of backend servers' announcements.
	Announcements func(backend.AnnouncementHandler) http.Handler
	// Rollouts keeps the plans of roll-outs that operators order.
	Rollouts rollout.PlanStore
	// Clock is the one that the deadlines of roll-outs stand on, where it is the VM's
	// own; nil where it is the store's.
	Clock func() time.Duration
	// OnInvalidInput sets who is told of rows of the store that cannot be understood; nil where
	// none but daemons and operators write there.
	OnInvalidInput func(told func(what string, why error))
	// OnStoreRestored sets who is told when the store has come back from an older copy, which
	// has lost what was written last; nil where a store never does.
	OnStoreRestored func(told func())
	// Bounds are what the platform holds all daemons to.
	Bounds Bounds
}

// AdapterFactory makes the adapter of one platform from the settings.
type AdapterFactory func(*settings.Settings) (*Adapter, error)

// Adapters are the platforms that a program knows, by settings platform.form.
type Adapters map[string]AdapterFactory

// ownForm is the platform.form of rushramp's own HTTP form.
const ownForm = "http"

// errVersionTold refuses a version in the settings of a daemon whose backend server
// tells its own.
var errVersionTold = errors.New("backend_server.version: backend servers of routed requests tell their version themselves. Leave it out, or leave out listen.routed.")

// adapter makes the adapter that the settings name.
func (a Adapters) adapter(s *settings.Settings) (*Adapter, error) {
	if s.Platform.Form == ownForm {
		return newOwnAdapter(s)
	}
	if s.BackendServer.Version != "" {
		return nil, errVersionTold
	}
	build, ok := a[s.Platform.Form]
	if !ok {
		return nil, errors.Errorf("platform.form: this program knows no platform %q. Give %q, or use a program that was built with its adapter.", s.Platform.Form, ownForm)
	}
	return build(s)
}

func newOwnAdapter(s *settings.Settings) (*Adapter, error) {
	client, err := store.NewHTTP(s.Platform.Address, s.Platform.Timeout)
	if err != nil {
		return nil, err
	}
	// Its store tells no time; VMs keep theirs by the network's.
	wall := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	if s.BackendServer.Version != "" && s.Listen.Routed != "" {
		return nil, errVersionTold
	}
	out := &Adapter{
		Store: client, Rollouts: rollout.NewTablePlanStore(client, wall), Clock: wall,
		Callers: ingress.DefaultHeaders(), Backend: backend.DefaultHeaders(),
	}
	if s.BackendServer.Version != "" {
		out.Bounds = ownBounds()
	}
	return out, nil
}
