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
	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/executor"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/runner"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/trial"
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
	// Routed runs routed requests; nil: none are taken.
	Routed *runner.Runner
	// Trial is the backend server's part in a roll-out; nil: it has none.
	Trial *trial.Trial
	// Backend knows which backend server stands beside the daemon, its version, and
	// whether it lives; nil: it is not watched.
	Backend *backend.Lifecycle
	// Evacuation is read beside rushramp's own head; nil where there is a feed.
	Evacuation *evacuation.Register
	// Orders are those of roll-outs, read beside rushramp's own head; nil where there is
	// a feed.
	Orders *rollout.OrderRegister
	// Rollouts keeps the plans of roll-outs in the store; nil: none are carried out here.
	// RolloutLimits are what the platform holds them to, the zero value where it has
	// none. Recorder counts the outcomes of runs while one is under way.
	Rollouts      rollout.Register
	RolloutLimits rollout.Limits
	Recorder      *rollout.Recorder
	// Feed tells of documents in the store; nil: rushramp's own head is read.
	Feed placement.Feed
	// Registrar is set where daemons write the list of VMs themselves.
	Registrar store.Registrar
	Control   *Control
	Dial      link.DialOptions
	// Background ends when the daemon does.
	Background context.Context
	// Sweep deletes old rows of never-repeat calls; nil: it is not done.
	Sweep func(ctx context.Context) (deleted int, err error)
	// Leave begins the drain; it returns at once.
	Leave func()

	// heldBack is true while the backend server must not run anything yet, as its
	// version is new to the service.
	heldBack bool
	// subsets are those worked out last, by service and kind.
	subsets map[subsetKey]cachedSubset
}

// runsInFlight counts the requests at the backend server and its gates.
func (e *Env) runsInFlight() (out int64) {
	if e.Executor != nil {
		out += e.Executor.InFlight()
	}
	if e.Routed != nil {
		out += e.Routed.InFlight()
	}
	return out
}

// order is the one list of systems, in the order in which they run: what came
// from outside first, what is published last.
func order(env *Env) []System {
	known := newRolloutTracker(env)
	watch := newRolloutWatcher(env, known)
	return []System{
		&suspension{Env: env},
		&vmListReader{Env: env, outage: events.NewOutage(env.Log, "list of VMs")},
		versionReader(env),
		&seeds{Env: env},
		&register{Env: env, outage: events.NewOutage(env.Log, "own entry in the list of VMs")},
		&departures{Env: env},
		newDepartureSweep(env),
		newQuarantines(env),
		newQuarantineSweep(env),
		&members{Env: env},
		&news{Env: env},
		&evacuations{Env: env},
		known,
		watch,
		newRolloutGuard(env, known, watch),
		newQuotas(env),
		&backendWatch{Env: env},
		&compare{Env: env},
		&placements{Env: env},
		&placementProof{Env: env},
		&links{Env: env},
		&spread{Env: env},
		&doubt{Env: env},
		&heartbeats{Env: env},
		&gateTick{Env: env},
		&sweeper{Env: env},
		&publish{Env: env},
		&queries{Env: env},
		&account{Env: env},
	}
}

// versionReader is the system that reads new versions from the store.
func versionReader(env *Env) System {
	if env.Feed != nil {
		return newFollower(env)
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
	return &Scheduler{env: env, systems: order(env)}
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

// due is a small timer for systems that act less often than each tick.
type due struct{ next int64 }

// at is true once per interval.
func (d *due) at(now int64, every time.Duration) bool {
	if now < d.next {
		return false
	}
	d.next = now + int64(every)
	return true
}
