package store

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/httpstrict"
	"github.com/rushramp/rushramp/pkg/netdial"
)

// HTTPClient calls the platform over HTTP with CBOR bodies.
type HTTPClient struct {
	address string
	timeout time.Duration
	client  *http.Client
}

var _ Platform = (*HTTPClient)(nil)

const (
	// maxResponseBytes is the maximum length of a response's body. Objects have up to 8 MB.
	maxResponseBytes = 16 << 20
	// maxResponseHeadBytes is the maximum size of a response's head.
	maxResponseHeadBytes = 64 << 10
	// maxIdleConnections is how many connections without a request are kept, each for up to
	// idleTimeout.
	maxIdleConnections = 64
	idleTimeout        = 10 * time.Second
)

// NewHTTPClient returns a client of the platform at address, an IP address and port. A
// request ends after timeout, or earlier at the deadline of its context.
func NewHTTPClient(address string, timeout time.Duration) *HTTPClient {
	return &HTTPClient{address: address, timeout: timeout, client: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: netdial.New(timeout, 0).DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeadBytes,
			MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout,
		},
	}}
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
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create the request to the platform")
	}
	// Without GetBody, net/http cannot send the request again by itself: the first attempt may have
	// taken effect.
	req.GetBody = nil
	resp, data, err := httpstrict.Exchange(h.client, req, maxResponseBytes)
	if err != nil {
		return errors.Wrapf(err, "request to the platform, path %s", path)
	}
	return decodeResponse(path, resp.StatusCode, data, out)
}

// decodeResponse decodes a response into out, or returns the error for its status.
func decodeResponse(path string, status int, data []byte, out *Response) error {
	switch status {
	case http.StatusOK:
		return Decode(data, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	}
	return errors.Errorf("request to the platform, path %s: unexpected status %d", path, status)
}
