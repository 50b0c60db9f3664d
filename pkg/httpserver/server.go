// Package httpserver starts a hertz server the way this project needs it: no
// signal handling of its own, an error when the address cannot be opened, and
// a stop that waits for requests in flight.
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
)

const stopTime = 200 * time.Millisecond

// Start opens address (IP number and port), lets routes register its handlers,
// and serves until stop is called.
func Start(address string, routes func(*server.Hertz), opts ...config.Option) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", address, err)
	}
	hlog.SetOutput(io.Discard)
	// The standard transport rather than netpoll: it takes an opened listener
	// and TLS, and each connection has its own goroutine, so a handler that
	// waits for an answer blocks nobody. docs/design/libraries.md.
	all := []config.Option{
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(stopTime),
	}
	h := server.New(append(all, opts...)...)
	routes(h)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run()
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		_ = h.Shutdown(ctx)
		_ = listener.Close()
		<-done
	}, nil
}
