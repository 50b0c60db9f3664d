package systems

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
)

// newTestHeadReader returns a headReader that reads from a fake store.
func newTestHeadReader(t *testing.T, platform *fakestore.Store) *headReader {
	env := testEnv()
	env.DaemonContext, env.Store = t.Context(), placement.NewStore(platform, platform)
	env.Evacuation, env.Orders = evacuation.NewRegister(platform), rollout.NewOrderStore(platform)
	return &headReader{Env: env, headOutage: events.NewOutage(env.Log, "head"), ordersOutage: events.NewOutage(env.Log, "orders")}
}

func TestOrdersAreReadWithTheHead(t *testing.T) {
	platform := fakestore.New()
	h := newTestHeadReader(t, platform)
	h.read(1, 0, nil)
	mail := h.World.Inbox.Take()
	test.Eq(t, &rollout.Orders{}, mail.RolloutOrders)
	orders, err := h.Orders.Apply(t.Context(), rollout.OrderRequest{ID: "1", Service: "s", Version: "v2", Duration: time.Minute})
	must.NoError(t, err)
	h.read(1, 0, nil)
	mail = h.World.Inbox.Take()
	test.Eq(t, &orders, mail.RolloutOrders)
}

// TestInvalidOrdersDoNotStopOtherReads: the head of the placement and the evacuations
// are read nevertheless.
func TestInvalidOrdersDoNotStopOtherReads(t *testing.T) {
	platform := fakestore.New()
	must.NoError(t, platform.Transact(t.Context(), []store.Write{{Key: "rollout-orders/set", Value: []byte("no JSON")}}))
	h := newTestHeadReader(t, platform)
	h.read(1, 0, nil)
	mail := h.World.Inbox.Take()
	test.Nil(t, mail.RolloutOrders)
	test.True(t, mail.PlacementHeadKnown)
	test.NotNil(t, mail.Evacuation)
}

// TestOlderOrdersDoNotReplaceNewerOnes: an operator's call and a read may end in any
// order within one tick.
func TestOlderOrdersDoNotReplaceNewerOnes(t *testing.T) {
	var mail tables.Mail
	for _, revision := range []uint64{3, 5, 4} {
		mail.KeepNewestOrders(rollout.Orders{Revision: revision})
	}
	test.Eq(t, 5, mail.RolloutOrders.Revision)
}
