package backend

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rushramp/rushramp/pkg/httpstrict"
	"github.com/rushramp/rushramp/pkg/netdial"
)

// Prober sends health checks to the backend server. A backend server answers them at
// once and without using a slot; the load header of the response is their main purpose.
type Prober struct {
	address string
	headers Headers
	client  *http.Client
}

// maxHealthBodyBytes limits how much of a health response's body is read.
const maxHealthBodyBytes = 4 << 10

// NewProber returns a prober, which keeps one idle connection. timeout limits each
// health check.
func NewProber(address string, headers Headers, timeout time.Duration) *Prober {
	dialer := netdial.New(timeout, unacknowledgedTimeout)
	return &Prober{
		address: address, headers: headers,
		client: &http.Client{Timeout: timeout, Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		}},
	}
}

// ProbeResult is the result of a health check.
type ProbeResult struct {
	// Healthy is true if the backend server answered with status 200.
	Healthy    bool
	InstanceID string
	// Reports are those of the response.
	Reports Reports
	// ColdFor is how much longer the backend server is cold; 0: it does not report that
	// it is.
	ColdFor time.Duration
}

// Probe makes one health check. An error means that there was no response, or none of HTTP/1.
func (p *Prober) Probe(ctx context.Context, path string) (ProbeResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		return ProbeResult{}, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return ProbeResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := httpstrict.CheckResponse(resp); err != nil {
		return ProbeResult{}, err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBodyBytes))
	return ProbeResult{
		Healthy:    resp.StatusCode == http.StatusOK,
		InstanceID: p.headers.instanceID(resp.Header),
		Reports:    p.headers.parseReports(resp.Header),
		ColdFor:    parseColdFor(resp.Header.Get(p.headers.ColdMS)),
	}, nil
}

// maxReportableColdMS is the largest valid value of the cold header: more fit no Duration, and the
// result of a conversion that overflows depends on the processor.
const maxReportableColdMS = float64(math.MaxInt64 / int64(time.Millisecond))

// parseColdFor parses the cold header, a number of milliseconds. It returns 0 for any
// other text.
func parseColdFor(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= maxReportableColdMS) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Close closes the idle connection.
func (p *Prober) Close() { p.client.CloseIdleConnections() }
