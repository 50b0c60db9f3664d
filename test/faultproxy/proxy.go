// Package faultproxy is a TCP proxy for tests that delays, throttles, cuts and
// holds traffic. Faults are set per client IP address, because each process in
// the tests has a loopback address of its own.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is a network fault of one client's connections, or of all connections.
// The zero value is no fault.
type Fault struct {
	// Cut closes all connections and refuses new ones.
	Cut bool
	// HoldIn stops delivery from client to target, HoldOut from target to
	// client. The connections stay open.
	HoldIn  bool
	HoldOut bool
	// Delay is added in each direction.
	Delay time.Duration
	// BytesPerSecond throttles each direction; 0 means no limit.
	BytesPerSecond int
}

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	faults  map[string]Fault
	conns   map[net.Conn]string
	closed  bool
}

// AllClients selects the fault of clients that have none of their own.
const AllClients = ""

// Start starts a proxy that listens on address and forwards to target. It fails
// when it cannot listen on address.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, faults: map[string]Fault{}, conns: map[net.Conn]string{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// SetFault replaces the fault of the client with an IP address, or of
// AllClients.
func (p *Proxy) SetFault(clientIP string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[clientIP] = f
	p.changed.Broadcast()
	for conn, client := range p.conns {
		if p.faultOf(client).Cut {
			_ = conn.Close()
		}
	}
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
	_ = p.listener.Close()
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// faultOf returns the fault that applies to a client. The caller holds p.mu.
func (p *Proxy) faultOf(client string) Fault {
	if f, ok := p.faults[client]; ok {
		return f
	}
	return p.faults[AllClients]
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	client, _, err := net.SplitHostPort(in.RemoteAddr().String())
	if err != nil || !p.addConn(in, client) {
		return
	}
	defer p.removeConn(in)
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	go p.copyWithFaults(in, out, client, func(f Fault) bool { return f.HoldIn }, done)
	go p.copyWithFaults(out, in, client, func(f Fault) bool { return f.HoldOut }, done)
	<-done
}

// addConn registers a connection; false when it must be refused.
func (p *Proxy) addConn(conn net.Conn, client string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faultOf(client).Cut {
		return false
	}
	p.conns[conn] = client
	return true
}

func (p *Proxy) removeConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// bufferSize is the maximum number of bytes that are copied at once.
const bufferSize = 16 << 10

// copyWithFaults copies one direction of a connection until it ends.
func (p *Proxy) copyWithFaults(src io.Reader, dst io.Writer, client string, held func(Fault) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f, open := p.waitWhileHeld(client, held)
			if !open {
				return
			}
			time.Sleep(f.wait(n))
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns how long the delivery of size bytes is delayed.
func (f Fault) wait(size int) time.Duration {
	out := f.Delay
	if f.BytesPerSecond > 0 {
		out += time.Duration(size) * time.Second / time.Duration(f.BytesPerSecond)
	}
	return out
}

// waitWhileHeld waits until the direction is not held, and returns the current
// fault; false when the proxy is closed.
func (p *Proxy) waitWhileHeld(client string, held func(Fault) bool) (Fault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && held(p.faultOf(client)) {
		p.changed.Wait()
	}
	return p.faultOf(client), !p.closed
}
