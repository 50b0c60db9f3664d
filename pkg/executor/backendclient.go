package executor

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Headers that the executor adds for the backend server.
const (
	// HeaderCallID carries an id that a cancellation names.
	HeaderCallID = "Rushramp-Call"
	// HeaderTimeout carries the time left, in milliseconds.
	HeaderTimeout = "Rushramp-Timeout"
)

// cancelTimeout bounds a cancellation: it helps only while the call runs.
const cancelTimeout = 200 * time.Millisecond

// idleConnection is how long an unused connection is kept. It is below what
// servers usually keep, so that the server is seldom the one to close first.
const idleConnection = 5 * time.Second

// errDial marks a connection that was never opened: the call was not run.
var errDial = errors.New("the backend server refused the connection")

// backend hands calls to the backend server over HTTP.
type backend struct {
	settings settings.BackendServer
	client   *client.Client
	// once opens a connection a call, for kinds that may never be repeated:
	// the library repeats a GET by itself when a kept connection turns out
	// closed, and a call on a fresh connection cannot meet that case.
	once *client.Client
}

func newBackend(s settings.BackendServer, maxBody int) (*backend, error) {
	kept, err := newClient(s, maxBody, true)
	if err != nil {
		return nil, err
	}
	fresh, err := newClient(s, maxBody, false)
	if err != nil {
		return nil, err
	}
	return &backend{settings: s, client: kept, once: fresh}, nil
}

func newClient(s settings.BackendServer, maxBody int, keepAlive bool) (*client.Client, error) {
	c, err := client.NewClient(
		client.WithDialer(&markingDialer{Dialer: standard.NewDialer()}),
		client.WithDialTimeout(s.DialTimeout),
		client.WithMaxConnsPerHost(s.Connections),
		client.WithMaxIdleConnDuration(idleConnection),
		client.WithKeepAlive(keepAlive),
		client.WithDisablePathNormalizing(true),
		client.WithNoDefaultUserAgentHeader(true),
		client.WithHostClientConfigHook(func(host any) error {
			host.(*http1.HostClient).MaxResponseBodySize = maxBody
			return nil
		}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "backend client")
	}
	c.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return c, nil
}

// markingDialer marks errors of opening a connection, which alone prove that
// nothing was sent.
type markingDialer struct{ network.Dialer }

// DialConnection implements network.Dialer.
func (m *markingDialer) DialConnection(n, address string, timeout time.Duration, conf *tls.Config) (network.Conn, error) {
	conn, err := m.Dialer.DialConnection(n, address, timeout, conf)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	return conn, nil
}

// DialTimeout implements network.Dialer.
func (m *markingDialer) DialTimeout(n, address string, timeout time.Duration, conf *tls.Config) (net.Conn, error) {
	conn, err := m.Dialer.DialTimeout(n, address, timeout, conf)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	return conn, nil
}

// run hands the call over and waits for the whole answer.
func (b *backend) run(c *wire.Call, id string, body []byte, timeout time.Duration, once bool) (*call.Answer, *errkind.Error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(c.Method)
	req.SetRequestURI("http://" + b.settings.Address + c.URI)
	for _, h := range c.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(HeaderCallID, id)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	req.SetBody(body)
	req.SetOptions(config.WithRequestTimeout(timeout))
	sender := b.client
	if once {
		sender = b.once
	}
	if err := sender.Do(context.Background(), req, resp); err != nil {
		return nil, explain(err)
	}
	return readAnswer(resp), nil
}

func explain(err error) *errkind.Error {
	switch {
	case errors.Is(err, errDial):
		return errkind.New(errkind.BackendUnreachable, "%v", err)
	case errors.Is(err, hertzerrors.ErrNoFreeConns):
		return errkind.New(errkind.Overloaded, "all connections to the backend server are in use")
	case errors.Is(err, hertzerrors.ErrTimeout):
		return errkind.New(errkind.DeadlineWhileRunning, "no answer in time")
	}
	return errkind.New(errkind.BackendFailed, "%v", err)
}

func readAnswer(resp *protocol.Response) *call.Answer {
	out := &call.Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.VisitAll(func(key, value []byte) {
		out.Headers = append(out.Headers, wire.Header{Name: string(key), Value: string(value)})
	})
	return out
}

// cancel tells the backend server that nobody waits for the call any more.
func (b *backend) cancel(id string) {
	if b.settings.CancelPath == "" {
		return
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("POST")
	req.SetRequestURI("http://" + b.settings.Address + b.settings.CancelPath + id)
	req.SetOptions(config.WithRequestTimeout(cancelTimeout))
	// The cancellation is a courtesy; the call's own answer settles it.
	_ = b.client.Do(context.Background(), req, resp)
}
