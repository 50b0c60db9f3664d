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
	// minFeedWait and maxFeedWait bound how long the store may hold one request to the
	// feed until there is an update. Each wait is random between them, so that the requests
	// of the followers start at different times. Other daemons get an update over their
	// links as soon as one follower has it.
	minFeedWait = 8 * time.Second
	maxFeedWait = 12 * time.Second
	// feedTimeoutMargin is how much longer than the requested wait a response may take.
	feedTimeoutMargin = 1500 * time.Millisecond
	// minLeadWait, maxLeadWait and leadTimeoutMargin are the same for the lead follower.
	// All requests that were open when the store stopped responding may hang; with these
	// times the lead followers ask again within three seconds of the store's return. That
	// is the time within which platforms require a VM to be in contact again.
	minLeadWait       = 1800 * time.Millisecond
	maxLeadWait       = 2300 * time.Millisecond
	leadTimeoutMargin = 700 * time.Millisecond
	// minFeedBackoff and maxFeedBackoff bound the backoff after a failed request,
	// maxLeadBackoff that of the lead follower: it retries at most 1.5 s after the store is
	// available again, at the cost of about one call a second per data centre while it is
	// not.
	minFeedBackoff = 100 * time.Millisecond
	maxFeedBackoff = 2 * time.Second
	maxLeadBackoff = time.Second
	// followCheckInterval is the time between two checks whether this daemon must follow
	// the feed.
	followCheckInterval = 300 * time.Millisecond
	// firstStartFollowDelay is when daemons begin to follow the feed at the first start
	// of the fleet. By then they know each other, so that only the highest ranked do.
	// firstStartFollowAllDelay is when all daemons without a placement begin.
	firstStartFollowDelay    = 2500 * time.Millisecond
	firstStartFollowAllDelay = 5 * time.Second
	// feedLagTolerance is how long a peer may have a newer version than the feed has
	// delivered until the open request is aborted and sent again.
	feedLagTolerance = 300 * time.Millisecond
)

// feedFollower follows the feed of the documents that operators write to the store
// themselves. Source: docs/design/platform.md, "The way of a configuration".
type feedFollower struct {
	*Env
	outage     *events.Outage
	started    sync.Once
	checkTimer intervalTimer
	// idle is true while other daemons follow the feed.
	idle atomic.Bool
	// isLead is true for the lead follower: the one with rank 0 in its reader group.
	isLead atomic.Bool
	// waitingForPeers is true while a restarted daemon waits for its peers
	// (shouldWaitForPeers).
	waitingForPeers atomic.Bool
	// newestFromFeed is the highest version that the feed has delivered. laggingSince is
	// the time, in nanoseconds, since which a peer has had a newer one; 0: none has.
	newestFromFeed atomic.Uint64
	laggingSince   int64

	mu     sync.Mutex
	cancel context.CancelFunc
}

// feedPosition is where to continue the feed. It is not known at first and after the
// store has discarded the history from there on.
type feedPosition struct {
	known  bool
	cursor uint64
	// evacuated is the set of evacuated data centres at the cursor.
	evacuated evacuation.Set
	// orders is the set of orders for roll-outs at the cursor.
	orders rollout.Orders
}

// after returns the position after an update.
func (position feedPosition) after(update placement.FeedUpdate) feedPosition {
	return feedPosition{
		known: true, cursor: update.Cursor,
		evacuated: position.evacuated.With(update.Cursor, update.Evacuations),
		orders:    position.orders.With(update.Cursor, update.Rollouts),
	}
}

func newFeedFollower(env *Env) *feedFollower {
	return &feedFollower{Env: env, outage: events.NewOutage(env.Log, "placement feed")}
}

// Tick implements System.
func (f *feedFollower) Tick(now int64, mail *tables.Mail) {
	if mail.StoreRestored {
		// The restored store may lack the version that the open request waits behind.
		f.abortRequest()
	}
	waited := f.waitingForPeers.Swap(f.shouldWaitForPeers(now))
	if f.checkTimer.fires(now, followCheckInterval) || waited && !f.waitingForPeers.Load() {
		f.idle.Store(!f.mustFollow(now))
		f.isLead.Store(f.rankAmongPeers() == 0)
	}
	f.started.Do(func() { go f.run() })
	if f.World.PlacementVersion() <= f.newestFromFeed.Load() {
		f.laggingSince = 0
		return
	}
	if f.laggingSince == 0 {
		f.laggingSince = now
	}
	if now-f.laggingSince > int64(feedLagTolerance) {
		f.laggingSince = now
		f.abortRequest()
	}
}

// mustFollow reports whether this daemon must follow the feed: if it is one of the
// highest ranked of its reader group, has no placement yet, or has so few links that it
// may be the only one that reaches the store. All others get updates over their links.
func (f *feedFollower) mustFollow(now int64) bool {
	if f.Settings.Platform.FirstStart && now < int64(firstStartFollowAllDelay) {
		return f.mustFollowAtFirstStart(now)
	}
	return f.World.Placement == nil || f.World.Peers.Len() < minLinks || f.rankAmongPeers() < f.Settings.Placement.FeedReaders
}

// mustFollowAtFirstStart is mustFollow during the first start of the fleet. Few links are
// open then, so daemons rank themselves among all members they know.
func (f *feedFollower) mustFollowAtFirstStart(now int64) bool {
	return now >= int64(firstStartFollowDelay) && f.rankIn(f.feedReaderGroup()) < f.Settings.Placement.FeedReaders
}

// rankAmongPeers returns the rank of this daemon in its reader group by rendezvous hash;
// 0: the first. Only linked daemons count, since a member that has failed but is not yet
// removed follows nothing. With few links more daemons follow, which costs calls but does
// no harm.
func (f *feedFollower) rankAmongPeers() int {
	group := f.feedReaderGroup()
	ownWeight := utils.RendezvousWeight(group.name, f.World.VM)
	higherRanked := map[string]struct{}{}
	f.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		hello := &peer.Hello
		if group.contains(f.proximityOf(peer)) && !row.Leaving && utils.RendezvousWeight(group.name, hello.VM) > ownWeight {
			higherRanked[hello.VM] = struct{}{}
		}
	})
	return len(higherRanked)
}

// abortRequest aborts the open request, which may hang on a broken connection.
func (f *feedFollower) abortRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *feedFollower) run() {
	f.awaitPeers()
	position, backoff := feedPosition{}, minFeedBackoff
	for f.DaemonContext.Err() == nil {
		if f.idle.Load() {
			// Others follow meanwhile, so the position would be outdated later.
			position = feedPosition{}
			f.sleep(followCheckInterval)
			continue
		}
		began := time.Now()
		next, err := f.step(position)
		f.outage.Record(err)
		if err == nil {
			if !position.known {
				// Once its links are open, it is known whether this daemon must follow
				// the feed. If so, the feed then delivers what changed meanwhile.
				f.sleep(2 * followCheckInterval)
			}
			position, backoff = next, minFeedBackoff
			continue
		}
		if errors.Is(err, store.ErrHistoryGone) {
			f.Log.Event(events.FeedHistoryLost, events.F("cursor", position.cursor))
			position = feedPosition{}
		}
		// The time for which a request has hung counts as part of the backoff.
		f.sleep(max(backoff-time.Since(began), minFeedBackoff))
		backoff = min(2*backoff, f.maxBackoff())
	}
}

// awaitPeers blocks while the daemon waits for its peers.
func (f *feedFollower) awaitPeers() {
	const pollInterval = 10 * time.Millisecond
	for f.waitingForPeers.Load() && f.DaemonContext.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// maxBackoff returns the longest backoff of this follower.
func (f *feedFollower) maxBackoff() time.Duration {
	if f.isLead.Load() {
		return maxLeadBackoff
	}
	return maxFeedBackoff
}

// sleep waits for a random time from half to one and a half times backoff, so that
// daemons do not ask all at once.
func (f *feedFollower) sleep(backoff time.Duration) {
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.DaemonContext.Done():
	}
}

// step sends one request to the feed and posts what it delivered to the inbox.
func (f *feedFollower) step(position feedPosition) (next feedPosition, err error) {
	wait, timeout := f.waitAndTimeout()
	if !position.known {
		timeout = f.Settings.Platform.Timeout
	}
	ctx, cancel := context.WithTimeout(f.DaemonContext, timeout)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	began := f.Now()
	update, err := f.request(ctx, position, wait)
	var unreadable *placement.UnreadableDocumentError
	if errors.As(err, &unreadable) {
		f.Log.Event(events.DocumentRefused, events.F("cause", unreadable.Cause))
		err = nil
	}
	if err != nil {
		return position, err
	}
	next = position.after(update)
	if !position.known || len(update.Evacuations) > 0 {
		f.postEvacuation(next.evacuated)
	}
	for _, refused := range update.RolloutErrors {
		f.Log.Event(events.RolloutRefused, events.F("cause", refused))
	}
	if !position.known || len(update.Rollouts) > 0 {
		f.World.Inbox.Post(true, func(m *tables.Mail) { m.RolloutOrders = &next.orders })
	}
	if update.Document != nil {
		err = f.postDocument(update.Document)
	}
	if err == nil && unreadable == nil {
		f.postStoreRead(began)
	}
	return next, err
}

// postStoreRead records that the feed has delivered everything that the store contained
// when the request began. It runs after the other posts, so that this content is in force
// first.
func (f *feedFollower) postStoreRead(began int64) {
	f.World.Inbox.Post(false, func(m *tables.Mail) { m.StoreReadAt = max(m.StoreReadAt, began) })
}

// postEvacuation passes the set of evacuated data centres to the systems, before any
// document of the same update, so that both take effect in the same tick.
func (f *feedFollower) postEvacuation(set evacuation.Set) {
	f.World.Inbox.Post(true, func(m *tables.Mail) { m.Evacuation = &set })
}

// waitAndTimeout returns how long the next request to the feed may be held by the store,
// and after how long it is aborted.
func (f *feedFollower) waitAndTimeout() (wait, timeout time.Duration) {
	if f.isLead.Load() {
		wait = minLeadWait + rand.N(maxLeadWait-minLeadWait)
		if readInterval := f.proofReadInterval(); readInterval > 0 {
			wait = min(wait, readInterval)
		}
		return wait, wait + leadTimeoutMargin
	}
	wait = minFeedWait + rand.N(maxFeedWait-minFeedWait)
	if readInterval := f.proofReadInterval(); readInterval > 0 {
		wait = min(wait, readInterval)
	}
	return wait, wait + feedTimeoutMargin
}

func (f *feedFollower) request(ctx context.Context, position feedPosition, wait time.Duration) (placement.FeedUpdate, error) {
	began := time.Now()
	if !position.known {
		update, err := f.Feed.Newest(ctx)
		store.CountCall(f.Metrics, "newest", began, err)
		return update, err
	}
	update, err := f.Feed.Next(ctx, position.cursor, wait)
	store.CountCall(f.Metrics, "feed", began, err)
	return update, err
}

// postDocument passes a document to the systems, which ignore older versions.
func (f *feedFollower) postDocument(doc *placement.Document) error {
	hash, err := doc.Hash()
	if err != nil {
		return err
	}
	if doc.Version > f.newestFromFeed.Load() {
		f.newestFromFeed.Store(doc.Version)
	}
	f.World.Inbox.Post(true, func(m *tables.Mail) {
		m.StorePlacements = append(m.StorePlacements, tables.ReceivedPlacement{Document: doc, Hash: hash, FromStore: true})
	})
	return nil
}
