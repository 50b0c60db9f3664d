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

// Everybody names the fault that befalls all diallers.
const Everybody = ""

// Start opens a proxy on address for target.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	self := &Proxy{target: target, listener: listener, faults: map[string]Fault{}, conns: map[net.Conn]string{}}
	self.wake = sync.NewCond(&self.mu)
	go self.accept()
	return self, nil
}

// Set replaces the fault of a dialler's IP number, or of Everybody.
func (self *Proxy) Set(from string, f Fault) {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.faults[from] = f
	self.wake.Broadcast()
	for conn, dialler := range self.conns {
		if self.faultOf(dialler).Cut {
			_ = conn.Close()
		}
	}
}

// Close ends the proxy and all its connections.
func (self *Proxy) Close() {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.closed = true
	self.wake.Broadcast()
	_ = self.listener.Close()
	for conn := range self.conns {
		_ = conn.Close()
	}
}

// faultOf expects the lock to be held.
func (self *Proxy) faultOf(dialler string) Fault {
	if f, ok := self.faults[dialler]; ok {
		return f
	}
	return self.faults[Everybody]
}

func (self *Proxy) accept() {
	for {
		conn, err := self.listener.Accept()
		if err != nil {
			return
		}
		go self.serve(conn)
	}
}

func (self *Proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	dialler, _, err := net.SplitHostPort(in.RemoteAddr().String())
	if err != nil || !self.enter(in, dialler) {
		return
	}
	defer self.leave(in)
	out, err := net.Dial("tcp", self.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	go self.pump(in, out, dialler, func(f Fault) bool { return f.HoldIn }, done)
	go self.pump(out, in, dialler, func(f Fault) bool { return f.HoldOut }, done)
	<-done
}

func (self *Proxy) enter(conn net.Conn, dialler string) bool {
	self.mu.Lock()
	defer self.mu.Unlock()
	if self.closed || self.faultOf(dialler).Cut {
		return false
	}
	self.conns[conn] = dialler
	return true
}

func (self *Proxy) leave(conn net.Conn) {
	self.mu.Lock()
	defer self.mu.Unlock()
	delete(self.conns, conn)
}

const bufferSize = 16 << 10

func (self *Proxy) pump(from io.Reader, to io.Writer, dialler string, held func(Fault) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			f, open := self.waitWhile(dialler, held)
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

func (self Fault) wait(size int) time.Duration {
	out := self.Delay
	if self.BytesPerSecond > 0 {
		out += time.Duration(size) * time.Second / time.Duration(self.BytesPerSecond)
	}
	return out
}

// waitWhile waits while the direction is held; false when the proxy closed.
func (self *Proxy) waitWhile(dialler string, held func(Fault) bool) (Fault, bool) {
	self.mu.Lock()
	defer self.mu.Unlock()
	for !self.closed && held(self.faultOf(dialler)) {
		self.wake.Wait()
	}
	return self.faultOf(dialler), !self.closed
}
