package systems

import (
	"math/rand/v2"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// compareEvery is the time between two questions of this daemon, at least.
	compareEvery = 500 * time.Millisecond
	// firstAskEvery is the same for a daemon that knows nobody yet.
	firstAskEvery = 60 * time.Millisecond
	// differFor is how long a peer's table must differ, with neither changing,
	// before it is asked: news on the way makes tables differ for a moment.
	differFor = 1500 * time.Millisecond
	// farPatience bounds how much longer a peer in another data centre is waited
	// with, each time drawn anew: where a whole data centre lacks the same row, the
	// first daemon that asks passes it on to the others, and saves bytes between
	// data centres.
	farPatience = 4 * time.Second
	// nearFirst is how long a daemon that knows nobody yet waits for a peer of its
	// own data centre.
	nearFirst = 300 * time.Millisecond
)

// antiEntropy asks a peer whose table of members differs for the rows in which it
// does: what was lost on a link that broke, or missed in a parted network,
// comes in this way.
type antiEntropy struct {
	*Env
	due     intervalTimer
	changes uint64
	digest  uint64
	// patience is the one drawn for the next question to another data centre.
	patience time.Duration
}

// Tick implements System.
func (c *antiEntropy) Tick(now int64, mail *tables.Mail) {
	if changes := c.World.Members.ChangeCount(); changes != c.changes {
		c.changes, c.digest = changes, c.World.Members.Digest()
		c.World.Peers.EachRow(func(_ *link.Peer, row *tables.PeerRow) { row.MembersDifferSince = 0 })
	}
	for _, n := range mail.PeerStates {
		c.note(now, n)
	}
	every := compareEvery
	if c.knowsNobody() {
		every = firstAskEvery
	}
	if c.due.fires(now, every) {
		c.ask(now)
	}
}

func (c *antiEntropy) note(now int64, n tables.PeerState) {
	row := c.World.Peers.GetOrAdd(n.Peer)
	switch {
	case n.State.Members == c.digest:
		row.MembersDifferSince = 0
	case row.MembersDifferSince == 0 || n.State.Members != row.MembersDigest:
		row.MembersDifferSince = now
	}
	row.MembersDigest = n.State.Members
	if _, known := c.World.Members.Find(n.Peer.Hello.VM); !known && row.MembersDifferSince != 0 {
		// A daemon that this one has not heard of: its list is the newer one.
		row.MembersDifferSince = min(row.MembersDifferSince, now-int64(differFor))
	}
}

func (c *antiEntropy) ask(now int64) {
	var longest *link.Peer
	var longestOver int64
	c.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if row.MembersDifferSince == 0 {
			return
		}
		if over := now - row.MembersDifferSince - int64(c.wait(peer)); over >= 0 && (longest == nil || over > longestOver) {
			longest, longestOver = peer, over
		}
	})
	if longest == nil {
		return
	}
	c.patience = rand.N(farPatience)
	c.World.Peers.GetOrAdd(longest).MembersDifferSince = now
	_ = longest.Send(&wire.MembersAsk{Buckets: c.World.Members.BucketDigests()})
}

// wait is how long a peer's table must differ before the peer is asked.
func (c *antiEntropy) wait(peer *link.Peer) time.Duration {
	near := peer.Hello.DataCentre == c.World.DataCentre
	switch {
	case near && c.knowsNobody():
		return 0
	case c.knowsNobody():
		return nearFirst
	case near:
		return differFor
	}
	return differFor + c.patience
}

// knowsNobody is true for a daemon that has just started: the only members are
// itself and, once a peer has greeted, that peer.
func (c *antiEntropy) knowsNobody() bool { return c.World.Members.Len() <= 2 }
