package rollout

import (
	"context"
	"encoding/json"
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

const (
	// rowOrders is where the orders stand in the platform's table, where operators use
	// rushramp's own calls.
	rowOrders = "rollout-orders/set"
	// MinDuration is the shortest time that operators may give: the shortest one for
	// which it was measured that a bad version is told while it is a canary (2.5 s of 8),
	// and below 8 s the switch alone may take more than the allowed share.
	MinDuration = 12 * time.Second
	// MaxDuration is the longest one: an order that stands for over a month is a
	// forgotten one, and keeps the service's executors counting.
	MaxDuration = 30 * 24 * time.Hour
	// mostChanges is how many changes the row remembers, so that one that is sent again
	// after a lost answer is known although others were made since: far more than
	// operators make within the minutes in which they repeat one.
	mostChanges = 64
)

// ErrNoOrder says that there is no order to take away.
var ErrNoOrder = errors.New("no order stands")

// OrderRequest is an operator's change of the orders.
type OrderRequest struct {
	// ID is chosen by the operator's tool. The same one again changes nothing.
	ID      string
	Service string
	// Version is the one to move to; empty: the order is taken away.
	Version  string
	Duration time.Duration
}

// Check says what the operator must correct; nil: nothing.
func (a OrderRequest) Check() error {
	switch {
	case !isName(a.ID):
		return errors.Errorf("a change needs a change id of at most %d bytes, so that a lost answer can be resolved", mostName)
	case !isReadable(a.Service):
		return errors.Errorf("%.40q is no name of a service. Give one of 1 to %d bytes without spaces and control characters.", a.Service, mostName)
	case a.Version == "" && a.Duration == 0:
		return nil
	case !isReadable(a.Version):
		return errors.Errorf("%.40q is no version. Give the word that the backend servers say, of 1 to %d bytes without spaces and control characters.", a.Version, mostName)
	case a.Duration < MinDuration:
		return errors.Errorf("a roll-out of %v is too short: a bad version would not be told in time. Give a duration of %v at least.", a.Duration, MinDuration)
	case a.Duration > MaxDuration:
		return errors.Errorf("a roll-out of %v is too long: it would be forgotten. Give a duration of %v at most.", a.Duration, MaxDuration)
	}
	return nil
}

// isReadable is true for a name that operators can read and type.
func isReadable(s string) bool {
	if !isName(s) || !utf8.ValidString(s) {
		return false
	}
	for _, c := range s {
		if unicode.IsSpace(c) || !unicode.IsPrint(c) {
			return false
		}
	}
	return true
}

// OrderStore is the set of orders in the platform's table, in one row, so that the
// row's version orders all sets. The row is never removed.
type OrderStore struct{ table store.Table }

// NewOrderStore makes the register of a platform's table.
func NewOrderStore(table store.Table) *OrderStore { return &OrderStore{table: table} }

// orderRow is the row's value. It is JSON, so that daemons of another release read what
// they know of it.
type orderRow struct {
	Orders []orderEntry `json:"orders"`
	// Changes are the ids of the newest changes, the newest last.
	Changes []string `json:"changes"`
}

type orderEntry struct {
	Service    string `json:"service"`
	Version    string `json:"version"`
	Revision   uint64 `json:"revision"`
	DurationMS int64  `json:"duration_ms"`
}

// Read returns the newest set; the zero value where nothing was ever ordered.
func (r *OrderStore) Read(ctx context.Context) (Orders, error) {
	found, err := r.table.Get(ctx, rowOrders)
	if errors.Is(err, store.ErrNotFound) {
		return Orders{}, nil
	}
	if err != nil {
		return Orders{}, err
	}
	_, orders, err := decodeOrders(found)
	return orders, err
}

// Apply makes one change and returns the set after it. Changes of operators who race
// are all made, and one whose id was made already changes nothing. ErrNoOrder where
// there is none to take away. A store.UnknownOutcomeError leaves open whether it was
// made; after any other error it was not.
func (r *OrderStore) Apply(ctx context.Context, a OrderRequest) (Orders, error) {
	if err := a.Check(); err != nil {
		return Orders{}, err
	}
	row, err := store.UpdateRow(ctx, r.table, rowOrders, func(row store.Row) ([]byte, error) { return a.edit(row) })
	if err != nil {
		return Orders{}, err
	}
	_, orders, err := decodeOrders(row)
	return orders, err
}

// edit returns the row's value with the change; nil where it was made already.
func (a OrderRequest) edit(row store.Row) ([]byte, error) {
	known, before, err := decodeOrders(row)
	if err != nil || slices.Contains(known.Changes, a.ID) {
		return nil, err
	}
	_, stands := before.Of(a.Service)
	change := OrderChange{Service: a.Service}
	switch {
	case a.Version != "":
		// Above the revision of each order before, as that was above an earlier version
		// of the row, and at most the version that the row gets.
		change.Order = &Order{Service: a.Service, Version: a.Version, Revision: row.Version + 1, Duration: a.Duration}
	case !stands:
		return nil, ErrNoOrder
	}
	after := before.With(row.Version+1, []OrderChange{change})
	if !after.valid() {
		return nil, errors.Errorf("orders of %d services stand, which is the most. Cancel those of roll-outs that have ended.", len(before.List))
	}
	return after.encode(append(known.Changes, a.ID))
}

func (o Orders) encode(changes []string) ([]byte, error) {
	out := orderRow{Orders: []orderEntry{}, Changes: changes[max(len(changes)-mostChanges, 0):]}
	for _, order := range o.List {
		out.Orders = append(out.Orders, orderEntry{
			Service: order.Service, Version: order.Version, Revision: order.Revision, DurationMS: order.Duration.Milliseconds(),
		})
	}
	value, err := json.Marshal(out)
	return value, errors.Wrap(err, "orders of roll-outs")
}

// decodeOrders reads the row; one that does not exist is the zero value.
func decodeOrders(row store.Row) (out orderRow, orders Orders, err error) {
	if row.Version == 0 {
		return out, orders, nil
	}
	if err := json.Unmarshal(row.Value, &out); err != nil {
		return out, orders, errors.Wrap(err, "orders of roll-outs")
	}
	orders.Revision = row.Version
	for _, e := range out.Orders {
		orders.List = append(orders.List, Order{
			Service: e.Service, Version: e.Version, Revision: e.Revision, Duration: time.Duration(e.DurationMS) * time.Millisecond,
		})
	}
	if !orders.valid() {
		return out, Orders{}, errors.New("the row of the orders of roll-outs has a value out of bounds, or is of a later release")
	}
	return out, orders, nil
}
