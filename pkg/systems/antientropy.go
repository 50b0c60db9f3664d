package systems

import (
	"math/rand/v2"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// requestInterval is the least time between two requests for rows.
	requestInterval = 500 * time.Millisecond
	// initialRequestInterval replaces requestInterval while the table is initial
	// (hasInitialTable).
	initialRequestInterval = 60 * time.Millisecond
	// settleTime is how long a peer's table must differ, while neither table changes,
	// before rows are requested: a change that is still being passed on makes tables
	// differ for a moment.
	settleTime = 1500 * time.Millisecond
	// maxExtraWait bounds the random time that is added to settleTime for a peer in
	// another data centre. If all daemons of a data centre lack the same row, the first
	// one that requests it passes it on to the others, which saves traffic between data
	// centres.
	maxExtraWait = 4 * time.Second
	// sameDataCentreHeadStart is how long a daemon with an initial table waits for a peer
	// in its own data centre before it asks one in another.
	sameDataCentreHeadStart = 300 * time.Millisecond
)

// antiEntropy compares digests of the table of members with those of the peers and
// requests the rows that differ. This recovers changes that were lost with a broken link
// or during a network partition.
type antiEntropy struct {
	*Env
	timer       intervalTimer
	changeCount uint64
	digest      uint64
	// extraWait is the current random wait for peers in other data centres, below
	// maxExtraWait.
	extraWait time.Duration
}

// Tick implements System.
func (a *antiEntropy) Tick(now int64, mail *tables.Mail) {
	if changeCount := a.World.Members.ChangeCount(); changeCount != a.changeCount {
		a.changeCount, a.digest = changeCount, a.World.Members.Digest()
		a.World.Peers.EachRow(func(_ *link.Peer, row *tables.PeerRow) { row.MembersDifferSince = 0 })
	}
	for _, received := range mail.PeerStates {
		a.recordDigest(now, received)
	}
	interval := requestInterval
	if a.hasInitialTable() {
		interval = initialRequestInterval
	}
	if a.timer.fires(now, interval) {
		a.requestRows(now)
	}
}

// recordDigest records the digest of a peer's table, and since when it differs from the
// own.
func (a *antiEntropy) recordDigest(now int64, received tables.PeerState) {
	row := a.World.Peers.GetOrAdd(received.Peer)
	switch {
	case received.State.MembersDigest == a.digest:
		row.MembersDifferSince = 0
	case row.MembersDifferSince == 0 || received.State.MembersDigest != row.MembersDigest:
		row.MembersDifferSince = now
	}
	row.MembersDigest = received.State.MembersDigest
	if _, known := a.World.Members.Find(received.Peer.Hello.VM); !known && row.MembersDifferSince != 0 {
		// This daemon does not know the peer itself, so the peer's table is newer.
		row.MembersDifferSince = min(row.MembersDifferSince, now-int64(settleTime))
	}
}

// requestRows requests the differing rows from the peer whose settle time ended longest
// ago, if there is one.
func (a *antiEntropy) requestRows(now int64) {
	var chosen *link.Peer
	var longestOverdue int64
	a.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if row.MembersDifferSince == 0 {
			return
		}
		if overdue := now - row.MembersDifferSince - int64(a.settleTimeFor(peer)); overdue >= 0 && (chosen == nil || overdue > longestOverdue) {
			chosen, longestOverdue = peer, overdue
		}
	})
	if chosen == nil {
		return
	}
	a.extraWait = rand.N(maxExtraWait)
	a.World.Peers.GetOrAdd(chosen).MembersDifferSince = now
	_ = chosen.Send(&wire.MembersAsk{Buckets: a.World.Members.BucketDigests()})
}

// settleTimeFor returns how long a peer's table must differ before rows are requested.
func (a *antiEntropy) settleTimeFor(peer *link.Peer) time.Duration {
	sameDataCentre := peer.Hello.DataCentre == a.World.DataCentre
	switch {
	case sameDataCentre && a.hasInitialTable():
		return 0
	case a.hasInitialTable():
		return sameDataCentreHeadStart
	case sameDataCentre:
		return settleTime
	}
	return settleTime + a.extraWait
}

// hasInitialTable reports whether this daemon has just started: its table contains at
// most itself and the first peer that sent a hello frame.
func (a *antiEntropy) hasInitialTable() bool { return a.World.Members.Len() <= 2 }
