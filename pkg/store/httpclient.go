package store

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/pkg/errors"
)

// HTTPClient calls the platform over HTTP with CBOR bodies.
type HTTPClient struct {
	address string
	timeout time.Duration
	client  *client.Client
}

var _ Platform = (*HTTPClient)(nil)

// maxResponseBytes is the maximum length of a response's body. Objects have up to 8 MB.
const maxResponseBytes = 16 << 20

// NewHTTPClient returns a client of the platform at address, an IP address and port. A
// request ends after timeout, or earlier at the deadline of its context.
func NewHTTPClient(address string, timeout time.Duration) (*HTTPClient, error) {
	c, err := client.NewClient(client.WithDialTimeout(timeout), client.WithDialer(standard.NewDialer()),
		client.WithHostClientConfigHook(func(host any) error {
			host.(*http1.HostClient).MaxResponseBodySize = maxResponseBytes
			return nil
		}))
	if err != nil {
		return nil, errors.Wrap(err, "create the HTTP client of the platform")
	}
	// The library must not retry: the first attempt may have taken effect.
	c.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return &HTTPClient{address: address, timeout: timeout, client: c}, nil
}

// Get implements Table.
func (h *HTTPClient) Get(ctx context.Context, key string) (Row, error) {
	var out Response
	if err := h.post(ctx, PathGet, GetRequest{Key: key}, &out); err != nil {
		return Row{}, err
	}
	if len(out.Rows) != 1 {
		return Row{}, errors.Errorf("the platform returned %d rows for one key", len(out.Rows))
	}
	return out.Rows[0], nil
}

// Scan implements Table.
func (h *HTTPClient) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var out Response
	err := h.post(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &out)
	return out.Rows, err
}

// Batch implements Table.
func (h *HTTPClient) Batch(ctx context.Context, writes []Write) ([]Result, error) {
	var out Response
	if err := h.post(ctx, PathBatch, WriteRequest{Writes: writes}, &out); err != nil {
		return nil, err
	}
	if len(out.Results) != len(writes) {
		return nil, errors.Errorf("the platform returned %d results for %d writes", len(out.Results), len(writes))
	}
	return out.Results, nil
}

// Transact implements Table.
func (h *HTTPClient) Transact(ctx context.Context, writes []Write) error {
	return h.post(ctx, PathTransact, WriteRequest{Writes: writes}, &Response{})
}

// PutObject implements Objects.
func (h *HTTPClient) PutObject(ctx context.Context, name string, data []byte) error {
	return h.post(ctx, PathPut, ObjectRequest{Name: name, Data: data}, &Response{})
}

// Object implements Objects.
func (h *HTTPClient) Object(ctx context.Context, name string) ([]byte, error) {
	var out Response
	err := h.post(ctx, PathObject, ObjectRequest{Name: name}, &out)
	return out.Data, err
}

// VMs implements VMs.
func (h *HTTPClient) VMs(ctx context.Context, dataCentre string) ([]VM, error) {
	var out Response
	err := h.post(ctx, PathVMs, VMsRequest{DataCentre: dataCentre}, &out)
	return out.VMs, err
}

// post sends a request and decodes its response into out.
func (h *HTTPClient) post(ctx context.Context, path string, in any, out *Response) error {
	body, err := Encode(in)
	if err != nil {
		return err
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + h.address + path)
	req.SetBody(body)
	timeout := h.timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return context.DeadlineExceeded
	}
	req.SetOptions(config.WithRequestTimeout(timeout))
	if err := h.client.Do(ctx, req, resp); err != nil {
		return errors.Wrapf(err, "request to the platform, path %s", path)
	}
	return decodeResponse(path, resp, out)
}

// decodeResponse decodes a response into out, or returns the error for its status.
func decodeResponse(path string, resp *protocol.Response, out *Response) error {
	switch resp.StatusCode() {
	case http.StatusOK:
		return Decode(resp.Body(), out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	}
	return errors.Errorf("request to the platform, path %s: unexpected status %d", path, resp.StatusCode())
}
