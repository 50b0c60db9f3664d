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

func asked(id, service, version string) OrderRequest {
	a := OrderRequest{ID: id, Service: service, Version: version}
	if version != "" {
		a.Duration = time.Minute
	}
	return a
}

// TestOrdersOfOperatorsWhoRaceAreAllMade: each orders a roll-out of a service of its own.
func TestOrdersOfOperatorsWhoRaceAreAllMade(t *testing.T) {
	platform := fakestore.New()
	var all sync.WaitGroup
	for _, service := range []string{"a", "b", "c"} {
		all.Go(func() {
			_, err := NewOrderStore(platform).Apply(t.Context(), asked("id-"+service, service, "v2"))
			test.NoError(t, err)
		})
	}
	all.Wait()
	orders, err := NewOrderStore(platform).Read(t.Context())
	must.NoError(t, err)
	must.Len(t, 3, orders.List)
	for _, o := range orders.List {
		test.LessEq(t, orders.Revision, o.Revision)
		test.Greater(t, 0, o.Revision)
	}
}

// TestEachNewOrderHasAHigherRevision, also one of the same version again, and one after
// the order was taken away. That of other services stays.
func TestEachNewOrderHasAHigherRevision(t *testing.T) {
	register := NewOrderStore(fakestore.New())
	other, err := register.Apply(t.Context(), asked("0", "other", "v9"))
	must.NoError(t, err)
	last := uint64(0)
	for i, version := range []string{"v2", "v2", "v3", "", "v2"} {
		orders, err := register.Apply(t.Context(), asked(fmt.Sprint("id-", i), "s", version))
		must.NoError(t, err)
		order, stands := orders.Of("s")
		test.Eq(t, version != "", stands)
		if !stands {
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

// TestAChangeThatIsSentAgainChangesNothing, also where a later order has taken its place.
func TestAChangeThatIsSentAgainChangesNothing(t *testing.T) {
	register := NewOrderStore(fakestore.New())
	first, err := register.Apply(t.Context(), asked("1", "s", "v2"))
	must.NoError(t, err)
	again, err := register.Apply(t.Context(), asked("1", "s", "v2"))
	must.NoError(t, err)
	test.Eq(t, first, again)
	later, err := register.Apply(t.Context(), asked("2", "s", "v3"))
	must.NoError(t, err)
	again, err = register.Apply(t.Context(), asked("1", "s", "v2"))
	must.NoError(t, err)
	test.Eq(t, later, again)
	for range 2 {
		gone, err := register.Apply(t.Context(), asked("3", "s", ""))
		must.NoError(t, err)
		test.SliceEmpty(t, gone.List)
	}
	_, err = register.Apply(t.Context(), asked("4", "s", ""))
	test.ErrorIs(t, err, ErrNoOrder)
}

// TestALostAnswerIsResolvedByTheSameID: the order was made, and is made once.
func TestALostAnswerIsResolvedByTheSameID(t *testing.T) {
	platform := fakestore.New()
	register := NewOrderStore(platform)
	platform.SetFaults(fakestore.Faults{LoseAnswers: 1})
	_, err := register.Apply(t.Context(), asked("1", "s", "v2"))
	var unknown *store.UnknownOutcomeError
	test.True(t, errors.As(err, &unknown))
	platform.SetFaults(fakestore.Faults{})
	made, err := register.Read(t.Context())
	must.NoError(t, err)
	again, err := register.Apply(t.Context(), asked("1", "s", "v2"))
	must.NoError(t, err)
	test.Eq(t, made, again)
	test.Len(t, 1, again.List)
}

func TestAStoreThatIsDownTakesNoOrder(t *testing.T) {
	platform := fakestore.New()
	platform.SetFaults(fakestore.Faults{Down: true})
	_, err := NewOrderStore(platform).Apply(t.Context(), asked("1", "s", "v2"))
	must.Error(t, err)
	var unknown *store.UnknownOutcomeError
	test.False(t, errors.As(err, &unknown), test.Sprint("it was read first, so nothing was written"))
	platform.SetFaults(fakestore.Faults{})
	orders, err := NewOrderStore(platform).Read(t.Context())
	must.NoError(t, err)
	test.Eq(t, Orders{}, orders)
}

// TestOrdersThatCannotBeReadAreNotWrittenOver: they may be of a later release.
func TestOrdersThatCannotBeReadAreNotWrittenOver(t *testing.T) {
	for _, value := range []string{"no JSON", `{"orders":[{"service":"s","version":"","revision":1,"duration_ms":1}]}`} {
		platform := fakestore.New()
		must.NoError(t, platform.Transact(t.Context(), []store.Write{{Key: rowOrders, Value: []byte(value)}}))
		_, err := NewOrderStore(platform).Apply(t.Context(), asked("1", "s", "v2"))
		test.Error(t, err)
		row, err := platform.Get(context.Background(), rowOrders)
		must.NoError(t, err)
		test.Eq(t, value, string(row.Value))
	}
}

func TestTheRowOfOrdersIsBounded(t *testing.T) {
	register := NewOrderStore(fakestore.New())
	for i := range mostServices {
		_, err := register.Apply(t.Context(), asked(fmt.Sprint("id-", i), fmt.Sprintf("s-%03d", i), "v2"))
		must.NoError(t, err)
	}
	_, err := register.Apply(t.Context(), asked("more", "more", "v2"))
	must.ErrorContains(t, err, "Cancel")
	_, err = register.Apply(t.Context(), asked("in place", "s-000", "v3"))
	must.NoError(t, err)
	row, err := register.table.Get(t.Context(), rowOrders)
	must.NoError(t, err)
	known, _, err := decodeOrders(row)
	must.NoError(t, err)
	test.Len(t, mostChanges, known.Changes)
}

// TestWhatOperatorsMustCorrect is the table of the checks.
func TestWhatOperatorsMustCorrect(t *testing.T) {
	right := OrderRequest{ID: "1", Service: "s", Version: "v2", Duration: time.Minute}
	test.NoError(t, right.Check())
	test.NoError(t, asked("1", "s", "").Check())
	for name, spoil := range map[string]func(*OrderRequest){
		"no id":                  func(a *OrderRequest) { a.ID = "" },
		"no service":             func(a *OrderRequest) { a.Service = "" },
		"a service with a space": func(a *OrderRequest) { a.Service = "glyph serve" },
		"a long service":         func(a *OrderRequest) { a.Service = strings.Repeat("s", mostName+1) },
		"no version":             func(a *OrderRequest) { a.Version = "" },
		"a version with a bell":  func(a *OrderRequest) { a.Version = "v2\a" },
		"a version of no text":   func(a *OrderRequest) { a.Version = "v\xff" },
		"a long version":         func(a *OrderRequest) { a.Version = strings.Repeat("v", mostName+1) },
		"no duration":            func(a *OrderRequest) { a.Duration = 0 },
		"too short":              func(a *OrderRequest) { a.Duration = MinDuration - 1 },
		"too long":               func(a *OrderRequest) { a.Duration = MaxDuration + 1 },
	} {
		a := right
		spoil(&a)
		test.Error(t, a.Check(), test.Sprint(name))
	}
}
