package store

import (
	"context"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Instrumented is a platform whose calls are counted and timed.
type Instrumented struct {
	Platform
	set *metrics.Set
}

// NewInstrumented counts the calls of a platform in a set of metrics.
func NewInstrumented(p Platform, set *metrics.Set) *Instrumented {
	return &Instrumented{Platform: p, set: set}
}

// CountCall counts one call that began at a time and ended with err.
func CountCall(set *metrics.Set, call string, began time.Time, err error) {
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

// CallCounts returns what Count has counted in a set, by name.
func CallCounts(set *metrics.Set) []CallCount {
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
func (c *Instrumented) Get(ctx context.Context, key string) (Row, error) {
	began := time.Now()
	row, err := c.Platform.Get(ctx, key)
	CountCall(c.set, "get", began, err)
	return row, err
}

// Scan implements Table.
func (c *Instrumented) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	began := time.Now()
	rows, err := c.Platform.Scan(ctx, prefix, after, limit)
	CountCall(c.set, "scan", began, err)
	return rows, err
}

// Batch implements Table.
func (c *Instrumented) Batch(ctx context.Context, writes []Write) ([]Result, error) {
	began := time.Now()
	results, err := c.Platform.Batch(ctx, writes)
	CountCall(c.set, "batch", began, err)
	return results, err
}

// Transact implements Table.
func (c *Instrumented) Transact(ctx context.Context, writes []Write) error {
	began := time.Now()
	err := c.Platform.Transact(ctx, writes)
	CountCall(c.set, "transact", began, err)
	return err
}

// PutObject implements Objects.
func (c *Instrumented) PutObject(ctx context.Context, name string, data []byte) error {
	began := time.Now()
	err := c.Platform.PutObject(ctx, name, data)
	CountCall(c.set, "put_object", began, err)
	return err
}

// Object implements Objects.
func (c *Instrumented) Object(ctx context.Context, name string) ([]byte, error) {
	began := time.Now()
	data, err := c.Platform.Object(ctx, name)
	CountCall(c.set, "object", began, err)
	return data, err
}

// VMs implements VMs.
func (c *Instrumented) VMs(ctx context.Context, dataCentre string) ([]VM, error) {
	began := time.Now()
	vms, err := c.Platform.VMs(ctx, dataCentre)
	CountCall(c.set, "vms", began, err)
	return vms, err
}
