package daemon

import (
	"context"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
)

// Traffic sums what this daemon's links, those in use now, have carried.
func (self *Daemon) Traffic() link.Traffic {
	var out link.Traffic
	self.ask(func(w *tables.World) {
		w.Peers.Rows(func(peer *link.Peer, _ *tables.PeerRow) {
			t := peer.Traffic()
			out.BytesIn += t.BytesIn
			out.BytesOut += t.BytesOut
			out.MessagesIn += t.MessagesIn
			out.MessagesOut += t.MessagesOut
		})
	})
	return out
}

// Links counts this daemon's links, in both directions.
func (self *Daemon) Links() int {
	n := 0
	self.ask(func(w *tables.World) { n = w.Peers.Len() })
	return n
}

// Members counts the VMs that this daemon knows of.
func (self *Daemon) Members() int { return self.World.View.Members() }

func (self *Daemon) ask(query func(*tables.World)) {
	self.World.Inbox.Ask(self.env.Background.Done(), query)
}

// Apply makes changes on top of the placement in force here, as an operator's
// call does, and returns the new version.
func (self *Daemon) Apply(ctx context.Context, changeID, author string, changes []placement.Change) (uint64, error) {
	return self.operators.Apply(ctx, changeID, author, changes)
}
