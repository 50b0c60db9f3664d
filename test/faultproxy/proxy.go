// Package faultproxy is a small TCP proxy for tests: it delays, throttles, cuts
// and holds what passes, told apart by who dialled. Each process's connections
// come from its own loopback IP number.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what befalls connections of one dialler, or of all.
type Fault struct {
	// Cut breaks connections and lets none be opened.
	Cut bool
	// HoldIn and HoldOut stop delivery towards the target, or from it, without
	// an end of the connection: one-way cuts.
	HoldIn  bool
	HoldOut bool
	// Delay is added in each direction.
	Delay time.Duration
	// BytesPerSecond throttles each direction; 0: not.
	BytesPerSecond int
}

// Proxy passes connections on to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	wake   *sync.Cond
	faults map[string]Fault
	conns  map[net.Conn]string
	closed bool
}

// AllClients names the fault that befalls all diallers.
const AllClients = ""

// Start opens a proxy on address for target.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, faults: map[string]Fault{}, conns: map[net.Conn]string{}}
	p.wake = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// SetFault replaces the fault of a dialler's IP number, or of Everybody.
func (p *Proxy) SetFault(from string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[from] = f
	p.wake.Broadcast()
	for conn, dialler := range p.conns {
		if p.faultOf(dialler).Cut {
			_ = conn.Close()
		}
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.wake.Broadcast()
	_ = p.listener.Close()
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// faultOf expects the lock to be held.
func (p *Proxy) faultOf(dialler string) Fault {
	if f, ok := p.faults[dialler]; ok {
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
	dialler, _, err := net.SplitHostPort(in.RemoteAddr().String())
	if err != nil || !p.enter(in, dialler) {
		return
	}
	defer p.leave(in)
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	go p.pump(in, out, dialler, func(f Fault) bool { return f.HoldIn }, done)
	go p.pump(out, in, dialler, func(f Fault) bool { return f.HoldOut }, done)
	<-done
}

func (p *Proxy) enter(conn net.Conn, dialler string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faultOf(dialler).Cut {
		return false
	}
	p.conns[conn] = dialler
	return true
}

func (p *Proxy) leave(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

const bufferSize = 16 << 10

func (p *Proxy) pump(from io.Reader, to io.Writer, dialler string, held func(Fault) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			f, open := p.waitWhile(dialler, held)
			if !open {
				return
			}
			time.Sleep(f.wait(n))
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (f Fault) wait(size int) time.Duration {
	out := f.Delay
	if f.BytesPerSecond > 0 {
		out += time.Duration(size) * time.Second / time.Duration(f.BytesPerSecond)
	}
	return out
}

// waitWhile waits while the direction is held; false when the proxy closed.
func (p *Proxy) waitWhile(dialler string, held func(Fault) bool) (Fault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && held(p.faultOf(dialler)) {
		p.wake.Wait()
	}
	return p.faultOf(dialler), !p.closed
}
