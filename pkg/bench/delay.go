package bench

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/bench/precise"
	"github.com/rushramp/rushramp/pkg/link"
)

// delayedDial returns a dial function whose connections hold back each byte
// for the one-way latency in both directions, in order.
func delayedDial(clock *precise.Clock, latency func(address string) time.Duration) link.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if d := latency(address); d > 0 {
			return newDelayed(clock, conn, d), nil
		}
		return conn, nil
	}
}

// delayed is a connection with latency.
type delayed struct {
	net.Conn
	out *delayLine
	in  *delayLine

	mu   sync.Mutex
	rest []byte
}

// parcel is what was written at once, and when it is due.
type parcel struct {
	data []byte
	due  time.Time
}

// delayLine hands parcels on in order when they are due.
type delayLine struct {
	clock   *precise.Clock
	latency time.Duration
	queue   chan parcel
	done    chan struct{}
	once    sync.Once
}

const delayQueue = 4096

func newDelayLine(clock *precise.Clock, latency time.Duration) *delayLine {
	return &delayLine{clock: clock, latency: latency, queue: make(chan parcel, delayQueue), done: make(chan struct{})}
}

func (self *delayLine) put(data []byte) error {
	p := parcel{data: append([]byte(nil), data...), due: time.Now().Add(self.latency)}
	select {
	case self.queue <- p:
		return nil
	case <-self.done:
		return net.ErrClosed
	}
}

func (self *delayLine) close() { self.once.Do(func() { close(self.done) }) }

// next returns the next parcel's data when it is due; false when closed.
func (self *delayLine) next() ([]byte, bool) {
	select {
	case p := <-self.queue:
		self.clock.SleepUntil(p.due)
		return p.data, true
	case <-self.done:
		return nil, false
	}
}

func newDelayed(clock *precise.Clock, conn net.Conn, latency time.Duration) *delayed {
	self := &delayed{Conn: conn, out: newDelayLine(clock, latency), in: newDelayLine(clock, latency)}
	go self.pumpOut()
	go self.pumpIn()
	return self
}

func (self *delayed) pumpOut() {
	for {
		data, ok := self.out.next()
		if !ok {
			return
		}
		if _, err := self.Conn.Write(data); err != nil {
			_ = self.Close()
			return
		}
	}
}

func (self *delayed) pumpIn() {
	buf := make([]byte, 64<<10)
	for {
		n, err := self.Conn.Read(buf)
		if n > 0 && self.in.put(buf[:n]) != nil {
			return
		}
		if err != nil {
			_ = self.Close()
			return
		}
	}
}

// Write implements net.Conn.
func (self *delayed) Write(data []byte) (int, error) {
	if err := self.out.put(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Read implements net.Conn.
func (self *delayed) Read(p []byte) (int, error) {
	self.mu.Lock()
	defer self.mu.Unlock()
	if len(self.rest) == 0 {
		data, ok := self.in.next()
		if !ok {
			return 0, net.ErrClosed
		}
		self.rest = data
	}
	n := copy(p, self.rest)
	self.rest = self.rest[n:]
	return n, nil
}

// SetReadDeadline implements net.Conn. The pump reads on; a peer that is
// silent ends the link when its connection ends.
func (self *delayed) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (self *delayed) Close() error {
	self.out.close()
	self.in.close()
	return self.Conn.Close()
}
