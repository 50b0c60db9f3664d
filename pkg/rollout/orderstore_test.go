package rollout

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
)

// newRequest returns a request for an order of one minute, or to take the order away where
// version is empty.
func newRequest(id, service, version string) OrderRequest {
	r := OrderRequest{ID: id, Service: service, Version: version}
	if version != "" {
		r.Duration = time.Minute
	}
	return r
}

// TestConcurrentRequestsAreAllApplied checks concurrent orders of different services.
func TestConcurrentRequestsAreAllApplied(t *testing.T) {
	table := fakestore.New()
	var wg sync.WaitGroup
	for _, service := range []string{"a", "b", "c"} {
		wg.Go(func() {
			_, err := NewOrderStore(table).Apply(t.Context(), newRequest("id-"+service, service, "v2"))
			test.NoError(t, err)
		})
	}
	wg.Wait()
	orders, err := NewOrderStore(table).Read(t.Context())
	must.NoError(t, err)
	must.Len(t, 3, orders.List)
	for _, o := range orders.List {
		test.LessEq(t, orders.Revision, o.Revision)
		test.Greater(t, 0, o.Revision)
	}
}

// TestEachNewOrderHasHigherRevision checks that each new order of a service has a higher
// revision than the one before, also for the same version, and after the order was taken
// away. Orders of other services must not change.
func TestEachNewOrderHasHigherRevision(t *testing.T) {
	orderStore := NewOrderStore(fakestore.New())
	other, err := orderStore.Apply(t.Context(), newRequest("0", "other", "v9"))
	must.NoError(t, err)
	last := uint64(0)
	for i, version := range []string{"v2", "v2", "v3", "", "v2"} {
		orders, err := orderStore.Apply(t.Context(), newRequest(fmt.Sprint("id-", i), "s", version))
		must.NoError(t, err)
		order, exists := orders.Of("s")
		test.Eq(t, version != "", exists)
		if !exists {
			test.Greater(t, last, orders.Revision)
			continue
		}
		test.Eq(t, Order{Service: "s", Version: version, Revision: order.Revision, Duration: time.Minute}, order)
		test.Greater(t, last, order.Revision)
		test.LessEq(t, orders.Revision, order.Revision)
		last = order.Revision
		kept, _ := orders.Of("other")
		test.Eq(t, other.List[0], kept)
	}
}

// TestRepeatedRequestChangesNothing checks a request that is sent again with the same ID,
// also where a later order has replaced its order.
func TestRepeatedRequestChangesNothing(t *testing.T) {
	orderStore := NewOrderStore(fakestore.New())
	first, err := orderStore.Apply(t.Context(), newRequest("1", "s", "v2"))
	must.NoError(t, err)
	again, err := orderStore.Apply(t.Context(), newRequest("1", "s", "v2"))
	must.NoError(t, err)
	test.Eq(t, first, again)
	later, err := orderStore.Apply(t.Context(), newRequest("2", "s", "v3"))
	must.NoError(t, err)
	again, err = orderStore.Apply(t.Context(), newRequest("1", "s", "v2"))
	must.NoError(t, err)
	test.Eq(t, later, again)
	for range 2 {
		removed, err := orderStore.Apply(t.Context(), newRequest("3", "s", ""))
		must.NoError(t, err)
		test.SliceEmpty(t, removed.List)
	}
	_, err = orderStore.Apply(t.Context(), newRequest("4", "s", ""))
	test.ErrorIs(t, err, ErrNoOrder)
}

// TestRequestIsAppliedOnceAfterLostAnswer checks that a request whose answer was lost is
// not applied again where it is sent again with the same ID.
func TestRequestIsAppliedOnceAfterLostAnswer(t *testing.T) {
	table := fakestore.New()
	orderStore := NewOrderStore(table)
	table.SetFaults(fakestore.Faults{LoseAnswers: 1})
	_, err := orderStore.Apply(t.Context(), newRequest("1", "s", "v2"))
	var unknown *store.UnknownOutcomeError
	test.True(t, errors.As(err, &unknown))
	table.SetFaults(fakestore.Faults{})
	made, err := orderStore.Read(t.Context())
	must.NoError(t, err)
	again, err := orderStore.Apply(t.Context(), newRequest("1", "s", "v2"))
	must.NoError(t, err)
	test.Eq(t, made, again)
	test.Len(t, 1, again.List)
}

func TestApplyFailsWhileStoreIsDown(t *testing.T) {
	table := fakestore.New()
	table.SetFaults(fakestore.Faults{Down: true})
	_, err := NewOrderStore(table).Apply(t.Context(), newRequest("1", "s", "v2"))
	must.Error(t, err)
	var unknown *store.UnknownOutcomeError
	test.False(t, errors.As(err, &unknown), test.Sprint("the read failed, so nothing was written"))
	table.SetFaults(fakestore.Faults{})
	orders, err := NewOrderStore(table).Read(t.Context())
	must.NoError(t, err)
	test.Eq(t, Orders{}, orders)
}

// TestUnreadableOrdersAreNotOverwritten: a later release may have written them.
func TestUnreadableOrdersAreNotOverwritten(t *testing.T) {
	for _, value := range []string{"no JSON", `{"orders":[{"service":"s","version":"","revision":1,"duration_ms":1}]}`} {
		table := fakestore.New()
		must.NoError(t, table.Transact(t.Context(), []store.Write{{Key: ordersKey, Value: []byte(value)}}))
		_, err := NewOrderStore(table).Apply(t.Context(), newRequest("1", "s", "v2"))
		test.Error(t, err)
		row, err := table.Get(context.Background(), ordersKey)
		must.NoError(t, err)
		test.Eq(t, value, string(row.Value))
	}
}

// TestOrdersRowIsBounded checks the largest number of services and of remembered changes.
func TestOrdersRowIsBounded(t *testing.T) {
	orderStore := NewOrderStore(fakestore.New())
	for i := range maxServices {
		_, err := orderStore.Apply(t.Context(), newRequest(fmt.Sprint("id-", i), fmt.Sprintf("s-%03d", i), "v2"))
		must.NoError(t, err)
	}
	_, err := orderStore.Apply(t.Context(), newRequest("more", "more", "v2"))
	must.ErrorContains(t, err, "Cancel")
	_, err = orderStore.Apply(t.Context(), newRequest("replacement", "s-000", "v3"))
	must.NoError(t, err)
	row, err := orderStore.table.Get(t.Context(), ordersKey)
	must.NoError(t, err)
	known, _, err := decodeRow(row)
	must.NoError(t, err)
	test.Len(t, maxRememberedChanges, known.Changes)
}

// TestCheckRejectsInvalidRequests invalidates one field of a valid request at a time.
func TestCheckRejectsInvalidRequests(t *testing.T) {
	valid := OrderRequest{ID: "1", Service: "s", Version: "v2", Duration: time.Minute}
	test.NoError(t, valid.Check())
	test.NoError(t, newRequest("1", "s", "").Check())
	for name, invalidate := range map[string]func(*OrderRequest){
		"no id":                              func(r *OrderRequest) { r.ID = "" },
		"no service":                         func(r *OrderRequest) { r.Service = "" },
		"a service with a space":             func(r *OrderRequest) { r.Service = "glyph serve" },
		"a long service":                     func(r *OrderRequest) { r.Service = strings.Repeat("s", maxNameBytes+1) },
		"no version":                         func(r *OrderRequest) { r.Version = "" },
		"a version with a control character": func(r *OrderRequest) { r.Version = "v2\a" },
		"a version of invalid UTF-8":         func(r *OrderRequest) { r.Version = "v\xff" },
		"a long version":                     func(r *OrderRequest) { r.Version = strings.Repeat("v", maxNameBytes+1) },
		"no duration":                        func(r *OrderRequest) { r.Duration = 0 },
		"too short":                          func(r *OrderRequest) { r.Duration = MinDuration - 1 },
		"too long":                           func(r *OrderRequest) { r.Duration = MaxDuration + 1 },
	} {
		r := valid
		invalidate(&r)
		test.Error(t, r.Check(), test.Sprint(name))
	}
}
