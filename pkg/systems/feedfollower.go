package systems

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

const (
	// feedWaitLeast and feedWaitMost bound how long one request to the feed may
	// hang. They differ between requests, so that somewhere in the fleet a new
	// one begins often; the others learn over their links.
	feedWaitLeast = 8 * time.Second
	feedWaitMost  = 12 * time.Second
	// feedSlack is how much longer than asked for an answer may take.
	feedSlack = 1500 * time.Millisecond
	// firstWaitLeast, firstWaitMost and firstSlack are those of the first follower of
	// a data centre. All followers may hang on requests that a store which was silent
	// for a while will never answer; the first ones ask again within three seconds of
	// its return, which is what platforms give a VM to be in touch again.
	firstWaitLeast = 1800 * time.Millisecond
	firstWaitMost  = 2300 * time.Millisecond
	firstSlack     = 700 * time.Millisecond
	// feedRest and feedRestMost bound the rest after a failure, firstRestMost that of
	// the first follower: with the spread of rests it asks 1.5 s after the store's
	// return at the latest, for one call a second and data centre while it is away.
	feedRest      = 100 * time.Millisecond
	feedRestMost  = 2 * time.Second
	firstRestMost = time.Second
	// feedLook is the time between two looks whether this daemon must follow.
	feedLook = 300 * time.Millisecond
	// firstFollowAfter is when the first daemons begin to follow at the first
	// start of the whole system: they know each other by then, so that only the
	// first few do. firstFollowAll is when all that have no version yet do.
	firstFollowAfter = 2500 * time.Millisecond
	firstFollowAll   = 5 * time.Second
	// feedTrust is how long a request to the feed may know less than a peer
	// before it is given up and opened again.
	feedTrust = 300 * time.Millisecond
)

// feedFollower follows the documents that operators write to the store themselves.
// Source: docs/design/platform.md, "The way of a configuration".
type feedFollower struct {
	*Env
	outage  *events.Outage
	started sync.Once
	lookDue intervalTimer
	// resting is true while others of this data centre follow the feed.
	resting atomic.Bool
	// first is true for the first follower of this data centre.
	first atomic.Bool
	// waitsForPeers is true while peers are asked first.
	waitsForPeers atomic.Bool
	// told is the highest version that the feed has told, aheadSince since when
	// a peer has told more; 0: it has not.
	told       atomic.Uint64
	aheadSince int64

	mu     sync.Mutex
	cancel context.CancelFunc
}

// feedPosition is where the feed goes on; not known at first, and after the store
// has forgotten its history.
type feedPosition struct {
	known  bool
	cursor uint64
	// evacuated is the set of evacuated data centres as it stood at the cursor.
	evacuated evacuation.Set
	// orders is the set of orders for roll-outs, likewise.
	orders rollout.Orders
}

// after is the place after an update. The first one tells all of the set.
func (at feedPosition) after(update placement.FeedUpdate) feedPosition {
	return feedPosition{
		known: true, cursor: update.Cursor,
		evacuated: at.evacuated.With(update.Cursor, update.Evacuations),
		orders:    at.orders.With(update.Cursor, update.Rollouts),
	}
}

func newFeedFollower(env *Env) *feedFollower {
	return &feedFollower{Env: env, outage: events.NewOutage(env.Log, "placement feed")}
}

// Tick implements System.
func (f *feedFollower) Tick(now int64, mail *tables.Mail) {
	if mail.StoreRestored {
		// It hangs on a version that is void.
		f.reopen()
	}
	waited := f.waitsForPeers.Swap(f.shouldWaitForPeers(now))
	if f.lookDue.fires(now, feedLook) || waited && !f.waitsForPeers.Load() {
		f.resting.Store(!f.mustFollow(now))
		f.first.Store(f.ahead() == 0)
	}
	f.started.Do(func() { go f.run() })
	if f.World.PlacementVersion() <= f.told.Load() {
		f.aheadSince = 0
		return
	}
	if f.aheadSince == 0 {
		f.aheadSince = now
	}
	if now-f.aheadSince > int64(feedTrust) {
		f.aheadSince = now
		f.reopen()
	}
}

// mustFollow is true for the first few daemons of each data centre, for one
// that has no version yet, and for one that has few links: it may be the only
// one that hears the store. All others learn over their links.
func (f *feedFollower) mustFollow(now int64) bool {
	if f.Settings.Platform.FirstStart && now < int64(firstFollowAll) {
		return f.mustFollowFirst(now)
	}
	return f.World.Placement == nil || f.World.Peers.Len() < fewLinks || f.ahead() < f.Settings.Placement.FeedReaders
}

// mustFollowFirst is mustFollow while the whole system starts for the first
// time. Few links are open by then, so daemons rank themselves among the members
// that they know; all of them live.
func (f *feedFollower) mustFollowFirst(now int64) bool {
	return now >= int64(firstFollowAfter) && f.rankIn(f.feedReaderGroup()) < f.Settings.Placement.FeedReaders
}

// ahead counts the daemons with which this one shares the feed's readers that come
// before it by rendezvous hash. Only those with a link count: a member that is gone
// but not forgotten follows nothing. Where links are few, more daemons follow, which
// costs calls and is never wrong.
func (f *feedFollower) ahead() int {
	group := f.feedReaderGroup()
	mine := utils.Rendezvous(group.name, f.World.VM)
	before := map[string]struct{}{}
	f.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		hello := &peer.Hello
		if group.has(f.proximityOf(peer)) && !row.Leaving && utils.Rendezvous(group.name, hello.VM) > mine {
			before[hello.VM] = struct{}{}
		}
	})
	return len(before)
}

// reopen gives up the request that hangs: it may hang behind a cut.
func (f *feedFollower) reopen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *feedFollower) run() {
	f.awaitPeers()
	at, rest := feedPosition{}, feedRest
	for f.DaemonContext.Err() == nil {
		if f.resting.Load() {
			// Where the feed went on is of no use later: others followed it.
			at = feedPosition{}
			f.sleep(feedLook)
			continue
		}
		began := time.Now()
		next, err := f.step(at)
		f.outage.Record(err)
		if err == nil {
			if !at.known {
				// Whether this daemon must follow the feed shows once its links are
				// open; the feed then tells what came meanwhile.
				f.sleep(2 * feedLook)
			}
			at, rest = next, feedRest
			continue
		}
		if errors.Is(err, store.ErrHistoryGone) {
			f.Log.Event(events.FeedHistoryLost, events.F("cursor", at.cursor))
			at = feedPosition{}
		}
		// A request that hung has rested already.
		f.sleep(max(rest-time.Since(began), feedRest))
		rest = min(2*rest, f.restMost())
	}
}

// awaitPeers returns once peers have been asked first.
func (f *feedFollower) awaitPeers() {
	const look = 10 * time.Millisecond
	for f.waitsForPeers.Load() && f.DaemonContext.Err() == nil {
		time.Sleep(look)
	}
}

// restMost is how long this follower rests at most.
func (f *feedFollower) restMost() time.Duration {
	if f.first.Load() {
		return firstRestMost
	}
	return feedRestMost
}

// sleep rests for around a time, so that daemons do not come back as one.
func (f *feedFollower) sleep(rest time.Duration) {
	timer := time.NewTimer(rest/2 + rand.N(rest))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.DaemonContext.Done():
	}
}

// step makes one request to the feed and hands on what it told.
func (f *feedFollower) step(at feedPosition) (next feedPosition, err error) {
	wait, bound := f.waits()
	if !at.known {
		bound = f.Settings.Platform.Timeout
	}
	ctx, cancel := context.WithTimeout(f.DaemonContext, bound)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	began := f.Now()
	update, err := f.ask(ctx, at, wait)
	var damaged *placement.UnreadableDocumentError
	if errors.As(err, &damaged) {
		f.Log.Event(events.DocumentRefused, events.F("cause", damaged.Cause))
		err = nil
	}
	if err != nil {
		return at, err
	}
	next = at.after(update)
	if !at.known || len(update.Evacuations) > 0 {
		f.takeEvacuation(next.evacuated)
	}
	for _, refused := range update.RolloutErrors {
		f.Log.Event(events.RolloutRefused, events.F("cause", refused))
	}
	if !at.known || len(update.Rollouts) > 0 {
		f.World.Inbox.Post(true, func(m *tables.Mail) { m.RolloutOrders = &next.orders })
	}
	if update.Document != nil {
		err = f.take(update.Document)
	}
	if err == nil && damaged == nil {
		f.noteRead(began)
	}
	return next, err
}

// noteRead notes that the store has told all that it knew when the request began. What it
// told is in force first: it was posted before.
func (f *feedFollower) noteRead(began int64) {
	f.World.Inbox.Post(false, func(m *tables.Mail) { m.StoreReadAt = max(m.StoreReadAt, began) })
}

// takeEvacuation hands the set of evacuated data centres to the systems, before
// any document that came with it: both are then in force at once.
func (f *feedFollower) takeEvacuation(set evacuation.Set) {
	f.World.Inbox.Post(true, func(m *tables.Mail) { m.Evacuation = &set })
}

// waits is how long the next request to the feed may hang, and when it is given up.
func (f *feedFollower) waits() (wait, bound time.Duration) {
	if f.first.Load() {
		wait = firstWaitLeast + rand.N(firstWaitMost-firstWaitLeast)
		if proof := f.proofReadInterval(); proof > 0 {
			wait = min(wait, proof)
		}
		return wait, wait + firstSlack
	}
	wait = feedWaitLeast + rand.N(feedWaitMost-feedWaitLeast)
	if proof := f.proofReadInterval(); proof > 0 {
		wait = min(wait, proof)
	}
	return wait, wait + feedSlack
}

func (f *feedFollower) ask(ctx context.Context, at feedPosition, wait time.Duration) (placement.FeedUpdate, error) {
	began := time.Now()
	if !at.known {
		update, err := f.Feed.Newest(ctx)
		store.CountCall(f.Metrics, "newest", began, err)
		return update, err
	}
	update, err := f.Feed.Next(ctx, at.cursor, wait)
	store.CountCall(f.Metrics, "feed", began, err)
	return update, err
}

// take hands a document to the systems, which never lower the version.
func (f *feedFollower) take(doc *placement.Document) error {
	hash, err := doc.Hash()
	if err != nil {
		return err
	}
	if doc.Version > f.told.Load() {
		f.told.Store(doc.Version)
	}
	f.World.Inbox.Post(true, func(m *tables.Mail) {
		m.Placements = append(m.Placements, tables.ReceivedPlacement{Document: doc, Hash: hash, FromStore: true})
	})
	return nil
}
