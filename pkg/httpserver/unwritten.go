package httpserver

import (
	"context"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
)

// UnwrittenAnswers counts the requests that a handler has begun to serve and whose answers are not
// written to their connections yet. It is a hertz tracer, because hertz writes an answer after its
// handler has returned. It is safe for concurrent use.
type UnwrittenAnswers struct{ count atomic.Int64 }

// unwrittenKey marks the counted requests in their contexts.
const unwrittenKey = "rushramp-unwritten"

// Begin counts a request. Its handler calls it once.
func (u *UnwrittenAnswers) Begin(c *app.RequestContext) {
	u.count.Add(1)
	c.Set(unwrittenKey, true)
}

// Count returns the number of requests.
func (u *UnwrittenAnswers) Count() int64 { return u.count.Load() }

// Start implements tracer.Tracer.
func (u *UnwrittenAnswers) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	return ctx
}

// Finish implements tracer.Tracer. hertz also calls it for a connection that ends while no request
// is served.
func (u *UnwrittenAnswers) Finish(_ context.Context, c *app.RequestContext) {
	if c.GetBool(unwrittenKey) {
		c.Set(unwrittenKey, false)
		u.count.Add(-1)
	}
}
