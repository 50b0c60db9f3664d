package httpstrict

import (
	"context"
	"net/http/httptrace"
)

// requestWrite is the write of one request by net/http.
type requestWrite struct {
	// ended receives the result of the write.
	ended chan error
}

// traceWrite returns a context for one request whose write is traced.
func traceWrite(ctx context.Context) (context.Context, *requestWrite) {
	w := &requestWrite{ended: make(chan error, 1)}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: w.end}), w
}

// end records the result of the write, and keeps the latest if net/http repeats the request.
func (w *requestWrite) end(info httptrace.WroteRequestInfo) {
	select {
	case <-w.ended:
	default:
	}
	w.ended <- info.Err
}

// wait waits until the write has ended, or ctx, and returns an error unless the request was written
// whole.
func (w *requestWrite) wait(ctx context.Context) error {
	select {
	case err := <-w.ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
