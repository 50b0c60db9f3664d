package store

import (
	"context"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Instrumented is a Platform that counts and times its calls in metrics.
type Instrumented struct {
	Platform
	set *metrics.Set
}

// NewInstrumented returns a Platform that passes its calls on to p and records their metrics
// in set.
func NewInstrumented(p Platform, set *metrics.Set) *Instrumented {
	return &Instrumented{Platform: p, set: set}
}

// CountCall records the result and the duration of one call in set. call is the name of the
// method or the purpose of the call.
func CountCall(set *metrics.Set, call string, startedAt time.Time, err error) {
	set.GetOrCreateCounter(callCounterPrefix + call + callCounterMiddle + resultLabel(err) + `"}`).Inc()
	set.GetOrCreateHistogram(`rushramp_store_call_seconds{call="` + call + `"}`).Update(time.Since(startedAt).Seconds())
}

// CallCount is the number of calls with one name and one result.
type CallCount struct {
	// Name is the name of the call and its result, as in "feed/ok".
	Name  string
	Count uint64
}

// The name of a counter of calls consists of callCounterPrefix, the name of the call,
// callCounterMiddle, the result and the closing quote and brace.
const (
	callCounterPrefix = `rushramp_store_calls_total{call="`
	callCounterMiddle = `",result="`
)

// CallCounts returns the counters of CountCall in a set, sorted by their metric names.
func CallCounts(set *metrics.Set) []CallCount {
	var out []CallCount
	for _, name := range set.ListMetricNames() {
		labels, ok := strings.CutPrefix(name, callCounterPrefix)
		if !ok {
			continue
		}
		call, result, _ := strings.Cut(strings.TrimSuffix(labels, `"}`), callCounterMiddle)
		out = append(out, CallCount{Name: call + "/" + result, Count: set.GetOrCreateCounter(name).Get()})
	}
	return out
}

// resultLabel returns the metric label for the result of a call.
func resultLabel(err error) string {
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
	startedAt := time.Now()
	row, err := c.Platform.Get(ctx, key)
	CountCall(c.set, "get", startedAt, err)
	return row, err
}

// Scan implements Table.
func (c *Instrumented) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	startedAt := time.Now()
	rows, err := c.Platform.Scan(ctx, prefix, after, limit)
	CountCall(c.set, "scan", startedAt, err)
	return rows, err
}

// Batch implements Table.
func (c *Instrumented) Batch(ctx context.Context, writes []Write) ([]Result, error) {
	startedAt := time.Now()
	results, err := c.Platform.Batch(ctx, writes)
	CountCall(c.set, "batch", startedAt, err)
	return results, err
}

// Transact implements Table.
func (c *Instrumented) Transact(ctx context.Context, writes []Write) error {
	startedAt := time.Now()
	err := c.Platform.Transact(ctx, writes)
	CountCall(c.set, "transact", startedAt, err)
	return err
}

// PutObject implements Objects.
func (c *Instrumented) PutObject(ctx context.Context, name string, data []byte) error {
	startedAt := time.Now()
	err := c.Platform.PutObject(ctx, name, data)
	CountCall(c.set, "put_object", startedAt, err)
	return err
}

// Object implements Objects.
func (c *Instrumented) Object(ctx context.Context, name string) ([]byte, error) {
	startedAt := time.Now()
	data, err := c.Platform.Object(ctx, name)
	CountCall(c.set, "object", startedAt, err)
	return data, err
}

// VMs implements VMs.
func (c *Instrumented) VMs(ctx context.Context, dataCentre string) ([]VM, error) {
	startedAt := time.Now()
	vms, err := c.Platform.VMs(ctx, dataCentre)
	CountCall(c.set, "vms", startedAt, err)
	return vms, err
}
