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
	// ordersKey is the key of the row with all orders in the platform's table, on platforms
	// where operators give orders through rushramp's own API.
	ordersKey = "rollout-orders/set"
	// MinDuration is the shortest duration of an order. Within it a bad version is
	// detected at a canary, and the switch alone does not use up the share of requests that
	// a bad version may get.
	MinDuration = 12 * time.Second
	// MaxDuration is the longest duration of an order. An order that runs for longer is
	// probably forgotten, and the service's executors would count runs needlessly.
	MaxDuration = 30 * 24 * time.Hour
	// maxRememberedChanges is how many ids of changes the row keeps. An id that an operator
	// sends again after a lost answer, some minutes later, must still be among them.
	maxRememberedChanges = 64
)

// ErrNoOrder is returned for a request to take away an order that does not exist.
var ErrNoOrder = errors.New("the service has no order")

// OrderRequest is an operator's request to write or take away the order of a service.
type OrderRequest struct {
	// ID is chosen by the operator's tool. A second request with the same ID changes
	// nothing.
	ID      string
	Service string
	// Version is the version to move to; empty to take the order away.
	Version string
	// Duration is the time from the order to its deadline; 0 to take the order away.
	Duration time.Duration
}

// Check returns an error that tells the operator what to correct; nil for a valid request.
func (r OrderRequest) Check() error {
	switch {
	case !isValidName(r.ID):
		return errors.Errorf("a change needs a change id of at most %d bytes, so that a lost answer can be resolved", maxNameBytes)
	case !isPrintableName(r.Service):
		return errors.Errorf("%.40q is no name of a service. Give one of 1 to %d bytes without spaces and control characters.", r.Service, maxNameBytes)
	case r.Version == "" && r.Duration == 0:
		return nil
	case !isPrintableName(r.Version):
		return errors.Errorf("%.40q is no version. Give the version that the backend servers report, of 1 to %d bytes without spaces and control characters.", r.Version, maxNameBytes)
	case r.Duration < MinDuration:
		return errors.Errorf("a roll-out of %v is too short to detect a bad version in time. Give a duration of %v at least.", r.Duration, MinDuration)
	case r.Duration > MaxDuration:
		return errors.Errorf("a roll-out of %v is too long: it would be forgotten. Give a duration of %v at most.", r.Duration, MaxDuration)
	}
	return nil
}

// isPrintableName is true for a valid name that operators can read and type.
func isPrintableName(s string) bool {
	if !isValidName(s) || !utf8.ValidString(s) {
		return false
	}
	for _, c := range s {
		if unicode.IsSpace(c) || !unicode.IsPrint(c) {
			return false
		}
	}
	return true
}

// OrderStore keeps the orders of all services in one row of the platform's table, so that
// the version of the row is the revision of the set. The row is never removed.
type OrderStore struct{ table store.Table }

// NewOrderStore returns the order store in a platform's table.
func NewOrderStore(table store.Table) *OrderStore { return &OrderStore{table: table} }

// orderRow is the value of the row. It is stored as JSON, so that daemons of another
// release can read the fields that they know.
type orderRow struct {
	Orders []orderEntry `json:"orders"`
	// Changes are the ids of the latest changes, the newest last.
	Changes []string `json:"changes"`
}

type orderEntry struct {
	Service    string `json:"service"`
	Version    string `json:"version"`
	Revision   uint64 `json:"revision"`
	DurationMS int64  `json:"duration_ms"`
}

// Read returns the newest set of orders; the zero value where there was never an order.
// It returns an error where the table cannot be read or the row cannot be decoded.
func (s *OrderStore) Read(ctx context.Context) (Orders, error) {
	found, err := s.table.Get(ctx, ordersKey)
	if errors.Is(err, store.ErrNotFound) {
		return Orders{}, nil
	}
	if err != nil {
		return Orders{}, err
	}
	_, orders, err := decodeRow(found)
	return orders, err
}

// Apply carries out a request and returns the set after it. Concurrent requests are all
// carried out, and a request whose ID was carried out before changes nothing. It returns
// ErrNoOrder where there is no order to take away. After a store.UnknownOutcomeError the
// request may or may not have been carried out; after any other error it was not.
func (s *OrderStore) Apply(ctx context.Context, r OrderRequest) (Orders, error) {
	if err := r.Check(); err != nil {
		return Orders{}, err
	}
	row, err := store.UpdateRow(ctx, s.table, ordersKey, func(row store.Row) ([]byte, error) { return r.applyTo(row) })
	if err != nil {
		return Orders{}, err
	}
	_, orders, err := decodeRow(row)
	return orders, err
}

// applyTo returns the value of the row after the request; nil where the request was
// carried out before.
func (r OrderRequest) applyTo(row store.Row) ([]byte, error) {
	known, before, err := decodeRow(row)
	if err != nil || slices.Contains(known.Changes, r.ID) {
		return nil, err
	}
	_, exists := before.Of(r.Service)
	change := OrderChange{Service: r.Service}
	switch {
	case r.Version != "":
		// This revision is higher than that of each earlier order, which was at most the
		// row's version, and at most the version that this write gives the row.
		change.Order = &Order{Service: r.Service, Version: r.Version, Revision: row.Version + 1, Duration: r.Duration}
	case !exists:
		return nil, ErrNoOrder
	}
	after := before.With(row.Version+1, []OrderChange{change})
	if !after.valid() {
		return nil, errors.Errorf("there are orders of %d services, which is the maximum. Cancel those of roll-outs that have ended.", len(before.List))
	}
	return after.encodeRow(append(known.Changes, r.ID))
}

// encodeRow returns the value of the row with these orders and the latest of the changes.
func (o Orders) encodeRow(changes []string) ([]byte, error) {
	out := orderRow{Orders: []orderEntry{}, Changes: changes[max(len(changes)-maxRememberedChanges, 0):]}
	for _, order := range o.List {
		out.Orders = append(out.Orders, orderEntry{
			Service: order.Service, Version: order.Version, Revision: order.Revision, DurationMS: order.Duration.Milliseconds(),
		})
	}
	value, err := json.Marshal(out)
	return value, errors.Wrap(err, "encode the roll-out orders")
}

// decodeRow decodes the row; a row that does not exist gives the zero values.
func decodeRow(row store.Row) (out orderRow, orders Orders, err error) {
	if row.Version == 0 {
		return out, orders, nil
	}
	if err := json.Unmarshal(row.Value, &out); err != nil {
		return out, orders, errors.Wrap(err, "decode the roll-out orders")
	}
	orders.Revision = row.Version
	for _, e := range out.Orders {
		orders.List = append(orders.List, Order{
			Service: e.Service, Version: e.Version, Revision: e.Revision, Duration: time.Duration(e.DurationMS) * time.Millisecond,
		})
	}
	if !orders.valid() {
		return out, Orders{}, errors.New("the row of the roll-out orders has a value out of bounds, or was written by a later release")
	}
	return out, orders, nil
}
