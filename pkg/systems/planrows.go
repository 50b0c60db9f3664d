package systems

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

const (
	// planRest and planRestMost bound the rest after a call that failed.
	planRest     = 100 * time.Millisecond
	planRestMost = time.Second
	// unreadableMost bounds the rest after a row that cannot be read: it is of a later
	// release, or damaged, and stays so until an operator writes it.
	unreadableMost = 30 * time.Second
	// unplannedFor is how long the order of a service that nobody runs must have had no
	// plan here for this daemon to read the plan's row itself, and up to as long again,
	// so that one of those that do tells the others. Each further read waits
	// unplannedGrowth times as long, up to unplannedMost: with three daemons reading,
	// six reads a minute at most in the long run, whatever the fleet's size.
	unplannedFor    = 1500 * time.Millisecond
	unplannedGrowth = 4
	unplannedMost   = 30 * time.Second
	// clockKeeps is how long the best reading of the store's clock is kept.
	clockKeeps = time.Minute
)

// planRows makes the calls to the store about plans, one at a time, in the background.
// After each write, whatever came of it, the row is read before anything else is
// written: an answer may be lost, and a write may be done later.
type planRows struct {
	*Env
	busy bool
	// fresh is true where the row was read since the last write.
	fresh bool
	// conflicted is true from a write that met another version of the row until one
	// goes well, and revision is the row's version when it was read last.
	conflicted bool
	revision   uint64
	rest       time.Duration
	restUntil  int64
	clock      storeClock
	// unplanned is when the rows of orders without a plan are read, by service.
	unplanned map[string]unplanned
}

// unplanned is when a row is due to be read, after a rest.
type unplanned struct {
	due  int64
	rest time.Duration
}

// next is the same after one more rest.
func (u unplanned) next(now int64) unplanned {
	rest := unplannedFor
	if u.rest > 0 {
		rest = min(u.rest*unplannedGrowth, unplannedMost)
	}
	return unplanned{due: now + int64(rest+rand.N(rest)), rest: rest}
}

func newPlanRows(env *Env) *planRows {
	return &planRows{Env: env, rest: planRest, unplanned: map[string]unplanned{}}
}

// take takes over how calls ended.
func (p *planRows) take(now int64, ended []tables.RolloutPlanResult) {
	for _, row := range ended {
		p.busy = false
		p.fresh = !row.IsWrite && row.Err == nil && row.Service == p.Settings.BackendServer.Service
		if row.Err == nil {
			p.took(&row)
			continue
		}
		p.Log.Event(events.RolloutRowFailed, events.F("service", row.Service), events.F("write", row.IsWrite),
			events.F("conflict", errors.Is(row.Err, store.ErrConflict)), events.F("cause", row.Err))
		p.conflicted = p.conflicted || row.IsWrite && errors.Is(row.Err, store.ErrConflict)
		p.restUntil = now + int64(p.rest)
		p.rest = min(2*p.rest, p.restMost(row.Err))
	}
}

// took takes over a call that went well. Rests grow on while writes conflict, though
// the reads between them go well.
func (p *planRows) took(row *tables.RolloutPlanResult) {
	p.conflicted = p.conflicted && !row.IsWrite
	if !p.conflicted {
		p.rest = planRest
	}
	if row.IsWrite {
		return
	}
	p.clock.take(row.Began, row.Stored.Now)
	if row.Service == p.Settings.BackendServer.Service {
		p.revision = row.Stored.Plan.Revision
	}
}

// condition is the version of the row that a plan is written over: the one that the
// book's plan had. Where that has met another one, it is the one that was read since, so
// that a row that was deleted, or put back to an older state, is written anew.
func (p *planRows) condition(plan rollout.Plan) uint64 {
	if p.conflicted {
		return p.revision
	}
	return plan.Revision
}

// restMost is the longest rest after a call that failed.
func (p *planRows) restMost(err error) time.Duration {
	if errors.Is(err, rollout.ErrUnreadablePlan) {
		return unreadableMost
	}
	return planRestMost
}

// forget has the row read again before anything is written.
func (p *planRows) forget() { p.fresh, p.conflicted = false, false }

// ready is true where the row of the service was read since the last write; else it has
// it read.
func (p *planRows) ready(now int64, service string) bool {
	if !p.fresh && !p.busy && now >= p.restUntil {
		p.read(service)
	}
	return p.fresh && !p.busy
}

// storeNow is the store's steady clock.
func (p *planRows) storeNow(now int64) time.Duration { return p.clock.at(now) }

// readUnplanned reads the plans of orders for services that nobody runs, as after all
// daemons beside them were away at once: without its plan an order lets its version run
// nothing. Where somebody runs the service, its watchers read the row and tell.
func (p *planRows) readUnplanned(now int64) {
	if p.Rollouts == nil {
		return
	}
	for _, order := range p.World.Rollouts.Snapshot().Orders.List {
		plan, known := p.World.Rollouts.Plan(order.Service)
		if known && plan.Order >= order.Revision {
			delete(p.unplanned, order.Service)
			continue
		}
		at, waits := p.unplanned[order.Service]
		if !waits {
			p.unplanned[order.Service] = at.next(now)
			continue
		}
		if now >= at.due && !p.busy && now >= p.restUntil {
			p.unplanned[order.Service] = at.next(now)
			if p.isReader(order.Service) {
				p.read(order.Service)
			}
		}
	}
}

// isReader is true where nobody runs the service, and this daemon is one of the first
// of the fleet for it.
func (p *planRows) isReader(service string) bool {
	run, ahead := false, 0
	own := utils.Rendezvous(service, p.World.VM)
	p.World.Members.EachRow(func(row int) {
		route := p.World.Members.Endpoint[row]
		_, unreached := p.World.Unreached[route]
		if p.World.Members.Leaving(row) || unreached {
			return
		}
		run = run || route.Service == service
		if utils.Rendezvous(service, route.VM) > own {
			ahead++
		}
	})
	return !run && ahead < watchersMost
}

func (p *planRows) read(service string) {
	p.call(service, false, func(ctx context.Context) (rollout.StoredPlan, error) { return p.Rollouts.Read(ctx, service) })
}

// write writes a plan over the row of the version that it names.
func (p *planRows) write(plan rollout.Plan) {
	p.call(plan.Service, true, func(ctx context.Context) (rollout.StoredPlan, error) {
		return rollout.StoredPlan{}, p.Rollouts.Write(ctx, plan)
	})
}

func (p *planRows) call(service string, write bool, do func(context.Context) (rollout.StoredPlan, error)) {
	p.busy, p.fresh = true, false
	began, purpose := p.Now(), "plan_read"
	if write {
		purpose = "plan_write"
	}
	go func() {
		ctx, cancel := context.WithTimeout(p.DaemonContext, p.Settings.Platform.Timeout)
		defer cancel()
		at := time.Now()
		stored, err := do(ctx)
		store.CountCall(p.Metrics, purpose, at, err)
		row := tables.RolloutPlanResult{Service: service, IsWrite: write, Stored: stored, Err: err, Began: began}
		p.World.Inbox.Post(true, func(m *tables.Mail) { m.RolloutPlanResults = append(m.RolloutPlanResults, row) })
	}()
}

// storeClock follows the store's steady clock. An answer tells it for some moment after
// its call began, so each reading is ahead by no more than the call took; the reading
// that is ahead least is kept.
type storeClock struct {
	offset time.Duration
	readAt int64
	known  bool
}

func (c *storeClock) take(began int64, said time.Duration) {
	offset := said - time.Duration(began)
	if c.known && offset >= c.offset && began-c.readAt < int64(clockKeeps) {
		return
	}
	c.offset, c.readAt, c.known = offset, began, true
}

func (c *storeClock) at(now int64) time.Duration { return time.Duration(now) + c.offset }
