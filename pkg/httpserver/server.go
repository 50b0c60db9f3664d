// Package httpserver starts hertz servers that do not handle signals, return an error when
// their address cannot be opened, and give requests in flight a short time to end when they
// stop.
package httpserver

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/connections"
)

// stopTimeout is how long a stop waits for requests in flight.
const stopTimeout = 200 * time.Millisecond

// Start listens on address (IP address and port), lets registerRoutes add the handlers,
// and serves requests on a new goroutine until stop is called. table limits the connections;
// nil: there are no limits. It returns an error when the address cannot be opened.
func Start(address string, table *connections.Table, registerRoutes func(*server.Hertz), opts ...config.Option) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", address, err)
	}
	hlog.SetOutput(io.Discard)
	// The standard transport is used instead of netpoll, because it accepts an open
	// listener and TLS, and serves each connection on a goroutine of its own, so that
	// a handler that waits blocks no other connection.
	// Source: docs/design/libraries.md.
	options := []config.Option{
		server.WithListener(table.Listener(listener)),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(stopTimeout),
	}
	h := server.New(append(options, opts...)...)
	registerRoutes(h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run()
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = h.Shutdown(ctx)
		_ = listener.Close()
		<-done
	}, nil
}
