// Package systems holds the systems of a daemon: the steps of its control loop, which run
// one after another at each tick, in one goroutine. A system reads and changes the tables
// (package tables). What it starts outside of them, such as a dial or a read of the
// store, runs in a goroutine of its own and posts its result to the inbox for a later
// tick. Source: docs/DESIGN.md, "Tables and systems".
package systems

import (
	"context"
	"sync/atomic"
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

// System is one step of a tick. now is Env.Now at the start of the tick, in nanoseconds;
// mail is what was posted to the inbox since the last tick.
type System interface {
	Tick(now int64, mail *tables.Mail)
}

// Env holds the tables and the other dependencies of the systems.
type Env struct {
	*common.Common
	World    *tables.World
	Platform store.Platform
	Store    *placement.Store
	// Executor runs calls on this VM's backend server; nil on a daemon that is only an
	// entry.
	Executor *executor.Executor
	// Runner is what runs calls on this VM's backend server, RoutedRunner or Executor;
	// nil without a backend server.
	Runner call.Runner
	// RoutedRunner runs routed requests on this VM's backend server; nil if the daemon
	// takes none.
	RoutedRunner *runner.Runner
	// Enforcer applies a roll-out to this VM's backend server; nil if it takes no part in
	// roll-outs.
	Enforcer *enforcer.Enforcer
	// Backend tracks this VM's backend server: its process, its version and whether it
	// accepts requests; nil if it is not tracked.
	Backend *backend.Lifecycle
	// Evacuation reads the evacuated data centres from the store; nil if there is a Feed.
	Evacuation *evacuation.Register
	// Orders reads the orders of roll-outs from the store; nil if there is a Feed.
	Orders *rollout.OrderStore
	// PlanStore stores the plans of roll-outs; nil if this daemon carries none out.
	// RolloutLimits are the platform's limits for them, the zero value if it has none.
	// Recorder counts the outcomes of requests during a roll-out.
	PlanStore     rollout.PlanStore
	RolloutLimits rollout.Limits
	Recorder      *rollout.Recorder
	// Feed delivers placement documents, evacuations and roll-out orders that operators
	// write to the store themselves. If it is nil, the systems read the placement head
	// that rushramp writes to the store instead.
	Feed placement.Feed
	// Registrar writes this VM's entry to the list of VMs; nil if the platform maintains
	// the list.
	Registrar   store.Registrar
	Control     *Control
	DialOptions link.DialOptions
	// DaemonContext is cancelled when the daemon stops.
	DaemonContext context.Context
	// SweepOnceRows deletes expired rows of never-repeat calls from the store and returns
	// how many; nil if nothing is to be swept.
	SweepOnceRows func(ctx context.Context) (deleted int, err error)
	// Leave starts to drain the daemon and returns at once.
	Leave func()

	// backendHeldBack is true while the backend server must not receive requests because
	// its version is new to the service.
	backendHeldBack bool
	// unstoredDepartures is the result of UnstoredDepartures.
	unstoredDepartures atomic.Int64
	// subsetCache holds the latest result of subset for each service and kind.
	subsetCache map[subsetKey]cachedSubset
}

// requestsInFlight returns the number of requests that run on the backend server or wait
// for it.
func (e *Env) requestsInFlight() (out int64) {
	if e.Executor != nil {
		out += e.Executor.InFlight()
	}
	if e.RoutedRunner != nil {
		out += e.RoutedRunner.InFlight()
	}
	return out
}

// newSystems returns the systems in the order in which they run: those that take over
// input from outside first, those that publish results last.
func newSystems(env *Env) []System {
	tracker := newRolloutTracker(env)
	watcher := newRolloutWatcher(env, tracker)
	return []System{
		&suspensionWatch{Env: env},
		&vmListReader{Env: env, outage: events.NewOutage(env.Log, "list of VMs")},
		versionReader(env),
		&seedDialer{Env: env},
		&registration{Env: env, outage: events.NewOutage(env.Log, "own entry in the list of VMs")},
		newDepartures(env),
		newDepartureSweeper(env),
		newQuarantines(env),
		newQuarantineSweeper(env),
		&membership{Env: env},
		&peerStates{Env: env},
		&evacuations{Env: env},
		tracker,
		watcher,
		newRolloutGuard(env, tracker, watcher),
		newQuotas(env),
		newRetrySlack(env),
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

// versionReader returns the system that reads new placement versions from the store.
func versionReader(env *Env) System {
	if env.Feed != nil {
		return newFeedFollower(env)
	}
	return &headReader{Env: env, headOutage: events.NewOutage(env.Log, "placement head"), ordersOutage: events.NewOutage(env.Log, "orders of roll-outs")}
}

// Scheduler runs the systems at each tick.
type Scheduler struct {
	env     *Env
	systems []System
}

// NewScheduler returns the scheduler of a daemon.
func NewScheduler(env *Env) *Scheduler {
	return &Scheduler{env: env, systems: newSystems(env)}
}

// Run runs the systems at each Settings.Tick, and at once after an urgent post to the
// inbox, until ctx ends.
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

// intervalTimer lets a system act less often than at each tick. The zero value fires at
// its first check. nextAt is in nanoseconds.
type intervalTimer struct{ nextAt int64 }

// fires reports whether the timer is due, and if so starts the next interval.
func (t *intervalTimer) fires(now int64, interval time.Duration) bool {
	if now < t.nextAt {
		return false
	}
	t.nextAt = now + int64(interval)
	return true
}
