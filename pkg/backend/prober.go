package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rushramp/rushramp/pkg/netdial"
)

// Prober asks the backend server's health path. Its answer comes at once and
// takes no slot; the load header in it is what the daemon is after.
type Prober struct {
	address string
	headers Headers
	client  *http.Client
}

// maxHealthBodyBytes bounds what is read of a health answer.
const maxHealthBodyBytes = 4 << 10

// NewProber makes a prober. One connection is kept.
func NewProber(address string, headers Headers, timeout time.Duration) *Prober {
	dialer := netdial.New(timeout, unacknowledgedTimeout)
	return &Prober{
		address: address, headers: headers,
		client: &http.Client{Timeout: timeout, Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
		}},
	}
}

// Health is one answer of the health path.
type Health struct {
	// Healthy is the backend server's own opinion.
	Healthy    bool
	InstanceID string
	// LoadHeader is the text of the load header.
	LoadHeader string
	// ColdFor is how much longer the backend server is cold; 0 where it does not
	// say that it is.
	ColdFor time.Duration
}

// Probe asks once.
func (p *Prober) Probe(ctx context.Context, path string) (Health, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		return Health{}, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return Health{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBodyBytes))
	return Health{
		Healthy:    resp.StatusCode == http.StatusOK,
		InstanceID: resp.Header.Get(p.headers.InstanceID),
		LoadHeader: resp.Header.Get(p.headers.Load),
		ColdFor:    parseColdFor(resp.Header.Get(p.headers.ColdMS)),
	}, nil
}

// parseColdFor reads the text of the cold header. One that cannot be read says nothing.
func parseColdFor(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Close ends the kept connection.
func (p *Prober) Close() { p.client.CloseIdleConnections() }
