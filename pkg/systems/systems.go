// Package systems holds the systems that run over the tables each tick, one
// file a system. A system reads and writes tables only; what it starts outside
// (a dial, a read of the store) ends in the inbox. Source: docs/DESIGN.md,
// "Tables and systems".
package systems

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/executor"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/runner"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
)

// System is one system. now is in nanoseconds of the daemon's steady clock.
type System interface {
	Tick(now int64, mail *tables.Mail)
}

// Env is what systems share besides the tables.
type Env struct {
	*common.Common
	World    *tables.World
	Platform store.Platform
	Store    *placement.Store
	// Executor is nil on a daemon that is an entry only.
	Executor *executor.Executor
	// Runner runs calls of this daemon's own backend server; nil: there is none.
	Runner call.Runner
	// RoutedRunner runs routed requests; nil: none are taken.
	RoutedRunner *runner.Runner
	// Trial is the backend server's part in a roll-out; nil: it has none.
	Trial *enforcer.Enforcer
	// Backend knows which backend server stands beside the daemon, its version, and
	// whether it lives; nil: it is not watched.
	Backend *backend.Lifecycle
	// Evacuation is read beside rushramp's own head; nil where there is a feed.
	Evacuation *evacuation.Register
	// Orders are those of roll-outs, read beside rushramp's own head; nil where there is
	// a feed.
	Orders *rollout.OrderStore
	// Rollouts keeps the plans of roll-outs in the store; nil: none are carried out here.
	// RolloutLimits are what the platform holds them to, the zero value where it has
	// none. Recorder counts the outcomes of runs while one is under way.
	Rollouts      rollout.PlanStore
	RolloutLimits rollout.Limits
	Recorder      *rollout.Recorder
	// Feed tells of documents in the store; nil: rushramp's own head is read.
	Feed placement.Feed
	// Registrar is set where daemons write the list of VMs themselves.
	Registrar   store.Registrar
	Control     *Control
	DialOptions link.DialOptions
	// DaemonContext ends when the daemon does.
	DaemonContext context.Context
	// SweepOnceRows deletes old rows of never-repeat calls; nil: it is not done.
	SweepOnceRows func(ctx context.Context) (deleted int, err error)
	// Leave begins the drain; it returns at once.
	Leave func()

	// backendHeldBack is true while the backend server must not run anything yet, as its
	// version is new to the service.
	backendHeldBack bool
	// subsetCache are those worked out last, by service and kind.
	subsetCache map[subsetKey]cachedSubset
}

// requestsInFlight counts the requests at the backend server and its gates.
func (e *Env) requestsInFlight() (out int64) {
	if e.Executor != nil {
		out += e.Executor.InFlight()
	}
	if e.RoutedRunner != nil {
		out += e.RoutedRunner.InFlight()
	}
	return out
}

// newSystems is the one list of systems, in the newSystems in which they run: what came
// from outside first, what is published last.
func newSystems(env *Env) []System {
	known := newRolloutTracker(env)
	watch := newRolloutWatcher(env, known)
	return []System{
		&suspensionWatch{Env: env},
		&vmListReader{Env: env, outage: events.NewOutage(env.Log, "list of VMs")},
		versionReader(env),
		&seedDialer{Env: env},
		&registration{Env: env, outage: events.NewOutage(env.Log, "own entry in the list of VMs")},
		&departures{Env: env},
		newDepartureSweep(env),
		newQuarantines(env),
		newQuarantineSweep(env),
		&membership{Env: env},
		&peerStates{Env: env},
		&evacuations{Env: env},
		known,
		watch,
		newRolloutGuard(env, known, watch),
		newQuotas(env),
		&backendReporter{Env: env},
		&antiEntropy{Env: env},
		&placements{Env: env},
		&placementProof{Env: env},
		&links{Env: env},
		&memberGossip{Env: env},
		&stalenessCheck{Env: env},
		&heartbeats{Env: env},
		&gateTicker{Env: env},
		&onceSweeper{Env: env},
		&viewPublisher{Env: env},
		&queries{Env: env},
		&trafficLog{Env: env},
	}
}

// versionReader is the system that reads new versions from the store.
func versionReader(env *Env) System {
	if env.Feed != nil {
		return newFeedFollower(env)
	}
	return &headReader{Env: env, headOutage: events.NewOutage(env.Log, "placement head"), ordersOutage: events.NewOutage(env.Log, "orders of roll-outs")}
}

// Scheduler runs the systems.
type Scheduler struct {
	env     *Env
	systems []System
}

// NewScheduler makes the scheduler of one daemon.
func NewScheduler(env *Env) *Scheduler {
	return &Scheduler{env: env, systems: newSystems(env)}
}

// Run ticks until ctx ends.
func (sc *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(sc.env.Settings.Tick)
	defer ticker.Stop()
	for {
		sc.Tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-sc.env.World.Inbox.Wake():
		}
	}
}

// Tick runs each system once.
func (sc *Scheduler) Tick() {
	mail := sc.env.World.Inbox.Take()
	now := sc.env.Now()
	for _, s := range sc.systems {
		s.Tick(now, &mail)
	}
}

// intervalTimer is a small timer for systems that act less often than each tick.
type intervalTimer struct{ nextAt int64 }

// fires is true once per interval.
func (d *intervalTimer) fires(now int64, every time.Duration) bool {
	if now < d.nextAt {
		return false
	}
	d.nextAt = now + int64(every)
	return true
}
