package systems

import (
	"slices"
	"strings"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/retries"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// retrySlackInterval is the least time between two choices of the daemons that grant retries.
const retrySlackInterval = time.Second

// retrySlack tells package retries how many daemons share the slack of each service, and, where
// groups share it, which daemon grants that of this daemon's group, and what this one grants.
// Source: docs/design/retries.md.
type retrySlack struct {
	*Env
	timer intervalTimer
	// countKnown is true once this daemon's table of members lacks none that matters.
	countKnown bool
	// highest and previousHighest are the largest member counts of the period that began at
	// periodAt and of the one before it. A table that loses members, as in a cut, must not
	// raise the daemons' parts at once.
	highest, previousHighest int
	periodAt                 int64
	// chosenAtChanges is the change count of the members, and chosenFor the number of daemons,
	// when the groups were last formed.
	chosenAtChanges uint64
	chosenFor       int
	byClass         [retries.Classes]slackOfClass
	linkedFrom      linkState
}

// slackOfClass is this daemon's place in the groups of one class.
type slackOfClass struct {
	// holder is the daemon that grants the slack of this daemon's group; nil: there is none to
	// grant.
	holder *tables.Endpoint
	// heldGroups names the groups whose slack this daemon grants since heldSince, held is the
	// number of retries in each window.
	heldGroups string
	heldSince  int64
	held       int
	share      retries.Share
}

func newRetrySlack(env *Env) *retrySlack {
	env.Metrics.GetOrCreateGauge("rushramp_retry_slack_held", func() float64 { return float64(env.Retries.Held(retries.Routed)) })
	return &retrySlack{Env: env}
}

// Tick implements System.
func (r *retrySlack) Tick(now int64, mail *tables.Mail) {
	r.observeCount(now, mail)
	if !r.countKnown {
		return
	}
	daemons := max(r.highest, r.previousHighest)
	r.World.View.SetRetryDaemons(daemons)
	if !r.timer.fires(now, retrySlackInterval) {
		return
	}
	changes := r.World.Members.ChangeCount()
	if daemons != r.chosenFor || changes != r.chosenAtChanges {
		r.chosenFor, r.chosenAtChanges, r.linkedFrom = daemons, changes, linkState{}
		r.choose(now, daemons)
	}
	r.publish(now)
}

// observeCount updates the member counts. A restarted daemon may use no slack in its first
// window. Peers have told it of all members by then, also while the store is down.
func (r *retrySlack) observeCount(now int64, mail *tables.Mail) {
	wholeList := mail.VMList != nil && mail.VMList.DataCentre == ""
	firstStart := r.Settings.Platform.FirstStart && now > int64(membersKnownAfter)
	told := now > int64(r.Retries.Window()) && r.World.Peers.Len() > 0
	r.countKnown = r.countKnown || wholeList || firstStart || told
	if now-r.periodAt >= int64(r.Retries.Window()) {
		r.periodAt, r.previousHighest, r.highest = now, r.highest, 0
	}
	r.highest = max(r.highest, r.World.Members.Len())
}

// choose forms the groups of this daemon's data centre, and chooses the daemons that grant
// their slack: the first by rendezvous hash. One that was lost without leaving is not replaced
// until it is removed from the list, since it may be running on the other side of a cut.
func (r *retrySlack) choose(now int64, daemons int) {
	inDataCentre := 0
	var staying []*tables.Endpoint
	r.World.Members.EachRow(func(row int) {
		if r.World.Members.Record[row].DataCentre != r.Settings.VM.DataCentre {
			return
		}
		inDataCentre++
		if !r.World.Members.Leaving(row) {
			staying = append(staying, r.World.Members.Endpoint[row])
		}
	})
	r.World.RetryHolders = r.World.RetryHolders[:0]
	for class, slack := range r.slacks() {
		of := &r.byClass[class]
		of.holder, of.held = nil, 0
		var held []string
		if retries.IsShared(slack, daemons) {
			held = r.chooseForClass(of, retries.NewGroups(retries.Class(class), r.Settings.VM.DataCentre, slack, inDataCentre, daemons), staying)
		}
		if names := strings.Join(held, ","); names != of.heldGroups {
			of.heldGroups, of.heldSince = names, now
		}
	}
}

// slacks returns the slack of each class.
func (r *retrySlack) slacks() [retries.Classes]float64 {
	return [retries.Classes]float64{
		retries.Routed: float64(r.Settings.Routing.RetrySlack), retries.Own: float64(r.Settings.Retries.BudgetFloor),
	}
}

// chooseForClass sets who grants the slack of this daemon's group, and how much this daemon
// grants. It returns the names of the groups whose slack it grants.
func (r *retrySlack) chooseForClass(of *slackOfClass, groups retries.Groups, staying []*tables.Endpoint) (held []string) {
	own := groups.Of(r.World.VM)
	for group := range groups.Count() {
		first := highestByRendezvous(groups.Name(group), staying, 1)
		if len(first) == 0 {
			continue
		}
		if first[0].VM == r.World.VM {
			held = append(held, groups.Name(group))
			of.held += groups.Slack(group)
		}
		if group == own && groups.Slack(group) > 0 {
			of.holder = first[0]
		}
	}
	if of.holder != nil && of.holder.VM != r.World.VM && !slices.Contains(r.World.RetryHolders, of.holder) {
		r.World.RetryHolders = append(r.World.RetryHolders, of.holder)
	}
	return held
}

// publish hands the shares to package retries. A daemon that begins to grant the slack of a
// group waits for one window, because the one before it may have granted it.
func (r *retrySlack) publish(now int64) {
	links := r.linkState()
	relink := links != r.linkedFrom
	r.linkedFrom = links
	for class := range r.byClass {
		of := &r.byClass[class]
		if relink {
			of.share.Ask = r.askOf(of.holder)
		}
		of.share.Self = of.holder != nil && of.holder.VM == r.World.VM
		of.share.Held = 0
		// At the first start of the whole system nobody has granted anything before.
		first := r.Settings.Platform.FirstStart && of.heldSince < int64(r.Retries.Window())
		if first || now-of.heldSince >= int64(r.Retries.Window()) {
			of.share.Held = of.held
		}
		r.Retries.SetShare(retries.Class(class), of.share)
	}
}

// askOf returns the function that sends asks to a daemon over the newest link to it, or nil if
// there is none, or if its release answers no asks.
func (r *retrySlack) askOf(holder *tables.Endpoint) func(*retries.Ask) {
	if holder == nil {
		return nil
	}
	var newest *link.Peer
	r.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) {
		if peer.Hello.VM == holder.VM && peer.Hello.Features.Has(wire.FeatureRetries) && (newest == nil || peer.Hello.Incarnation > newest.Hello.Incarnation) {
			newest = peer
		}
	})
	if newest == nil {
		return nil
	}
	return func(ask *retries.Ask) {
		// Without an answer the asker times out.
		_ = newest.Send(&wire.RetryAsk{Ask: *ask})
	}
}
