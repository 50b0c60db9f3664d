package daemon

import (
	"context"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
)

// Traffic returns the sum of the traffic of this daemon's open links.
func (d *Daemon) Traffic() link.Traffic {
	var out link.Traffic
	d.runQuery(func(w *tables.World) {
		w.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) {
			t := peer.Traffic()
			out.BytesIn += t.BytesIn
			out.BytesOut += t.BytesOut
			out.MessagesIn += t.MessagesIn
			out.MessagesOut += t.MessagesOut
		})
	})
	return out
}

// LinkCount returns the number of this daemon's open links, accepted ones included.
func (d *Daemon) LinkCount() int {
	n := 0
	d.runQuery(func(w *tables.World) { n = w.Peers.Len() })
	return n
}

// MemberCount returns the number of members that this daemon knows.
func (d *Daemon) MemberCount() int { return d.World.View.MemberCount() }

func (d *Daemon) runQuery(query func(*tables.World)) {
	d.World.Inbox.RunQuery(d.env.DaemonContext.Done(), query)
}

// Apply commits changes of the placement in force here, as an operator's call does, and
// returns the new version.
func (d *Daemon) Apply(ctx context.Context, changeID, author string, changes []placement.Change) (uint64, error) {
	return d.operators.Apply(ctx, changeID, author, changes)
}
