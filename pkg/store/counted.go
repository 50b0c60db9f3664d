package store

import (
	"context"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Counted is a platform whose calls are counted and timed.
type Counted struct {
	Platform
	set *metrics.Set
}

// NewCounted counts the calls of a platform in a set of metrics.
func NewCounted(p Platform, set *metrics.Set) *Counted { return &Counted{Platform: p, set: set} }

// Count counts one call that began at a time and ended with err.
func Count(set *metrics.Set, call string, began time.Time, err error) {
	set.GetOrCreateCounter(callsPrefix + call + callsMiddle + resultOf(err) + `"}`).Inc()
	set.GetOrCreateHistogram(`rushramp_store_call_seconds{call="` + call + `"}`).Update(time.Since(began).Seconds())
}

// CallCount is how many calls of one purpose ended in one way.
type CallCount struct {
	// Name is the call and its result, as in "feed/ok".
	Name  string
	Count uint64
}

// callsPrefix and callsMiddle stand around a call in the name of its counter.
const (
	callsPrefix = `rushramp_store_calls_total{call="`
	callsMiddle = `",result="`
)

// Calls returns what Count has counted in a set, by name.
func Calls(set *metrics.Set) []CallCount {
	var out []CallCount
	for _, name := range set.ListMetricNames() {
		labels, ok := strings.CutPrefix(name, callsPrefix)
		if !ok {
			continue
		}
		call, result, _ := strings.Cut(strings.TrimSuffix(labels, `"}`), callsMiddle)
		out = append(out, CallCount{Name: call + "/" + result, Count: set.GetOrCreateCounter(name).Get()})
	}
	return out
}

// resultOf is the label of a call's end; the set of labels is closed.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrHistoryGone):
		return "history_gone"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "failed"
}

// Get implements Table.
func (c *Counted) Get(ctx context.Context, key string) (Row, error) {
	began := time.Now()
	row, err := c.Platform.Get(ctx, key)
	Count(c.set, "get", began, err)
	return row, err
}

// Scan implements Table.
func (c *Counted) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	began := time.Now()
	rows, err := c.Platform.Scan(ctx, prefix, after, limit)
	Count(c.set, "scan", began, err)
	return rows, err
}

// Batch implements Table.
func (c *Counted) Batch(ctx context.Context, writes []Write) ([]Result, error) {
	began := time.Now()
	results, err := c.Platform.Batch(ctx, writes)
	Count(c.set, "batch", began, err)
	return results, err
}

// Transact implements Table.
func (c *Counted) Transact(ctx context.Context, writes []Write) error {
	began := time.Now()
	err := c.Platform.Transact(ctx, writes)
	Count(c.set, "transact", began, err)
	return err
}

// PutObject implements Objects.
func (c *Counted) PutObject(ctx context.Context, name string, data []byte) error {
	began := time.Now()
	err := c.Platform.PutObject(ctx, name, data)
	Count(c.set, "put_object", began, err)
	return err
}

// Object implements Objects.
func (c *Counted) Object(ctx context.Context, name string) ([]byte, error) {
	began := time.Now()
	data, err := c.Platform.Object(ctx, name)
	Count(c.set, "object", began, err)
	return data, err
}

// VMs implements VMs.
func (c *Counted) VMs(ctx context.Context, dataCentre string) ([]VM, error) {
	began := time.Now()
	vms, err := c.Platform.VMs(ctx, dataCentre)
	Count(c.set, "vms", began, err)
	return vms, err
}
