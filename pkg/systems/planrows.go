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
	// planRetryDelay and planRetryDelayMax are the first and the longest delay after a
	// failed call to the store.
	planRetryDelay    = 100 * time.Millisecond
	planRetryDelayMax = time.Second
	// unreadableRetryDelayMax is the longest delay after the read of a row that cannot be
	// decoded: a later release wrote it or it is damaged, and only an operator can change
	// that.
	unreadableRetryDelayMax = 30 * time.Second
	// missingPlanReadDelay is the shortest delay before this daemon reads the plan for an
	// order whose service runs nowhere; a random part makes it up to twice as long, so
	// that one of the daemons that read tends to be first and tells the others. Each
	// further delay is missingPlanDelayFactor times as long, up to
	// missingPlanReadDelayMax.
	missingPlanReadDelay    = 1500 * time.Millisecond
	missingPlanDelayFactor  = 4
	missingPlanReadDelayMax = 30 * time.Second
	// clockOffsetMaxAge is how long a measured offset of the store's clock is used,
	// before the next one replaces it even if it is less accurate.
	clockOffsetMaxAge = time.Minute
)

// planRows reads and writes the rows of roll-out plans in the store, one call at a time,
// in the background. After each write, successful or not, the row must be read before
// the next write: the answer may have been lost, and the store may still execute a write
// that has timed out.
type planRows struct {
	*Env
	// calling is true while a call to the store is running.
	calling bool
	// isFresh is true if the row of this VM's service was read after the last write.
	isFresh bool
	// conflicted is true from a write that failed since the row had another version than
	// expected until a write succeeds. storedRevision is the version of the row at the
	// last read.
	conflicted     bool
	storedRevision uint64
	// retryDelay is the delay after the next failed call; no call begins before retryAt.
	retryDelay time.Duration
	retryAt    int64
	clock      storeClock
	// missingPlanReads are the reads that are due for orders without a known plan, by
	// service.
	missingPlanReads map[string]missingPlanRead
}

// missingPlanRead is when a row is due to be read, in nanoseconds, and the delay that
// led to that time, without its random part.
type missingPlanRead struct {
	readAt int64
	delay  time.Duration
}

// postponed returns the read after this one, with a longer delay.
func (r missingPlanRead) postponed(now int64) missingPlanRead {
	delay := missingPlanReadDelay
	if r.delay > 0 {
		delay = min(r.delay*missingPlanDelayFactor, missingPlanReadDelayMax)
	}
	return missingPlanRead{readAt: now + int64(delay+rand.N(delay)), delay: delay}
}

func newPlanRows(env *Env) *planRows {
	return &planRows{Env: env, retryDelay: planRetryDelay, missingPlanReads: map[string]missingPlanRead{}}
}

// applyResults applies the results of calls that have ended.
func (p *planRows) applyResults(now int64, results []tables.RolloutPlanResult) {
	for _, result := range results {
		p.calling = false
		p.isFresh = !result.IsWrite && result.Err == nil && result.Service == p.Settings.BackendServer.Service
		if result.Err == nil {
			p.applySuccess(&result)
			continue
		}
		p.Log.Event(events.RolloutRowFailed, events.F("service", result.Service), events.F("write", result.IsWrite),
			events.F("conflict", errors.Is(result.Err, store.ErrConflict)), events.F("cause", result.Err))
		p.conflicted = p.conflicted || result.IsWrite && errors.Is(result.Err, store.ErrConflict)
		p.retryAt = now + int64(p.retryDelay)
		p.retryDelay = min(2*p.retryDelay, p.maxRetryDelay(result.Err))
	}
}

// applySuccess applies the result of a successful call. It does not reset the retry
// delay while writes conflict, even if the reads between them succeed.
func (p *planRows) applySuccess(result *tables.RolloutPlanResult) {
	p.conflicted = p.conflicted && !result.IsWrite
	if !p.conflicted {
		p.retryDelay = planRetryDelay
	}
	if result.IsWrite {
		return
	}
	p.clock.addSample(result.Began, result.Stored.Now)
	if result.Service == p.Settings.BackendServer.Service {
		p.storedRevision = result.Stored.Plan.Revision
	}
}

// baseRevision returns the version that the row must have for the next plan to be
// written: the version of the known plan. After a conflict it is the version at the last
// read instead, so that a row that was deleted or restored to an older state is
// replaced.
func (p *planRows) baseRevision(plan rollout.Plan) uint64 {
	if p.conflicted {
		return p.storedRevision
	}
	return plan.Revision
}

// maxRetryDelay returns the longest delay after a call that failed with err.
func (p *planRows) maxRetryDelay(err error) time.Duration {
	if errors.Is(err, rollout.ErrUnreadablePlan) {
		return unreadableRetryDelayMax
	}
	return planRetryDelayMax
}

// requireRead makes the next write wait for a read of the row.
func (p *planRows) requireRead() { p.isFresh, p.conflicted = false, false }

// ensureRead reports whether a plan may be written: the row of the service was read
// after the last write, and no call is running. If the row was not read, it starts a
// read.
func (p *planRows) ensureRead(now int64, service string) bool {
	if !p.isFresh && !p.calling && now >= p.retryAt {
		p.read(service)
	}
	return p.isFresh && !p.calling
}

// storeNow returns the time of the store's monotonic clock.
func (p *planRows) storeNow(now int64) time.Duration { return p.clock.storeTime(now) }

// readMissingPlans reads the plans for orders whose plan is not known and whose service
// runs nowhere. Such a plan may have been written before all daemons that knew it were
// stopped; without it, the version that the order names gets no requests. If the
// service runs somewhere, its watchers read the plan and send it to the other daemons.
func (p *planRows) readMissingPlans(now int64) {
	if p.PlanStore == nil {
		return
	}
	for _, order := range p.World.Rollouts.Snapshot().Orders.List {
		plan, known := p.World.Rollouts.Plan(order.Service)
		if known && plan.Order >= order.Revision {
			delete(p.missingPlanReads, order.Service)
			continue
		}
		next, scheduled := p.missingPlanReads[order.Service]
		if !scheduled {
			p.missingPlanReads[order.Service] = next.postponed(now)
			continue
		}
		if now >= next.readAt && !p.calling && now >= p.retryAt {
			p.missingPlanReads[order.Service] = next.postponed(now)
			if p.isPlanReader(order.Service) {
				p.read(order.Service)
			}
		}
	}
}

// isPlanReader reports whether no reachable member runs the service, and this daemon is
// one of the first maxWatchers of the fleet by rendezvous hash on the service's name.
func (p *planRows) isPlanReader(service string) bool {
	isRunning, rank := false, 0
	own := utils.RendezvousWeight(service, p.World.VM)
	p.World.Members.EachRow(func(row int) {
		endpoint := p.World.Members.Endpoint[row]
		_, unreached := p.World.Unreached[endpoint]
		if p.World.Members.Leaving(row) || unreached {
			return
		}
		isRunning = isRunning || endpoint.Service == service
		if utils.RendezvousWeight(service, endpoint.VM) > own {
			rank++
		}
	})
	return !isRunning && rank < maxWatchers
}

// read starts to read the plan of a service.
func (p *planRows) read(service string) {
	p.call(service, false, func(ctx context.Context) (rollout.StoredPlan, error) { return p.PlanStore.Read(ctx, service) })
}

// write starts to write a plan. The write conflicts unless the row in the store has the
// version plan.Revision.
func (p *planRows) write(plan rollout.Plan) {
	p.call(plan.Service, true, func(ctx context.Context) (rollout.StoredPlan, error) {
		return rollout.StoredPlan{}, p.PlanStore.Write(ctx, plan)
	})
}

// call starts a call to the store and posts its result to the inbox.
func (p *planRows) call(service string, isWrite bool, do func(context.Context) (rollout.StoredPlan, error)) {
	p.calling, p.isFresh = true, false
	began, purpose := p.Now(), "plan_read"
	if isWrite {
		purpose = "plan_write"
	}
	go func() {
		ctx, cancel := context.WithTimeout(p.DaemonContext, p.Settings.Platform.Timeout)
		defer cancel()
		start := time.Now()
		stored, err := do(ctx)
		store.CountCall(p.Metrics, purpose, start, err)
		result := tables.RolloutPlanResult{Service: service, IsWrite: isWrite, Stored: stored, Err: err, Began: began}
		p.World.Inbox.Post(true, func(m *tables.Mail) { m.RolloutPlanResults = append(m.RolloutPlanResults, result) })
	}()
}

// storeClock estimates the time of the store's monotonic clock from its answers. The
// store takes the time of an answer at some moment after the call began, so an offset
// measured against the beginning is too high by at most the duration of the call. The
// lowest offset is therefore the most accurate one.
type storeClock struct {
	offset time.Duration
	// measuredAt is when the offset was measured, in nanoseconds of this daemon's clock.
	measuredAt int64
	known      bool
}

// addSample updates the offset from the answer to a call that began at began and
// returned storeTime.
func (c *storeClock) addSample(began int64, storeTime time.Duration) {
	offset := storeTime - time.Duration(began)
	if c.known && offset >= c.offset && began-c.measuredAt < int64(clockOffsetMaxAge) {
		return
	}
	c.offset, c.measuredAt, c.known = offset, began, true
}

// storeTime returns the time of the store's clock at time now of this daemon's clock.
func (c *storeClock) storeTime(now int64) time.Duration { return time.Duration(now) + c.offset }
