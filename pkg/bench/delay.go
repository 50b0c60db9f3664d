package bench

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/bench/precise"
	"github.com/rushramp/rushramp/pkg/link"
)

// dialer returns the dial function of a VM. Its connections delay each byte by
// the one-way latency in both directions and are subject to the network's
// faults. Without latency and faults it is an ordinary dial.
func (c *cluster) dialer(from endpoint) link.Dial {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, proto, address)
		if err != nil {
			return nil, err
		}
		to := c.endpointOf(address)
		latency := c.deployment.OneWayLatency
		if to.dataCentre == from.dataCentre {
			latency = 0
		}
		if latency == 0 && !c.injectFaults {
			return conn, nil
		}
		out := newDelayedConn(c.clock, c.network, conn, latency, route{from, to})
		if !c.network.addConn(out, route{from, to}) {
			_ = out.Close()
			return nil, errPartitioned
		}
		out.start()
		return out, nil
	}
}

var errPartitioned = errors.New("the network between the two VMs is partitioned")

// delayedConn is a connection with latency and the network's faults.
type delayedConn struct {
	net.Conn
	network *network
	out     *delayLine
	in      *delayLine

	mu sync.Mutex
	// unread is the part of the last received chunk that Read has not returned
	// yet.
	unread []byte
}

// chunk is the data of one write or read, and when it is delivered.
type chunk struct {
	data []byte
	due  time.Time
}

// delayLine delivers the chunks of one direction in order when they are due.
type delayLine struct {
	clock   *precise.Clock
	network *network
	from    endpoint
	to      endpoint
	latency time.Duration
	queue   chan chunk
	done    chan struct{}
	once    sync.Once
}

// delayLineCapacity is the number of chunks that a delayLine holds.
const delayLineCapacity = 4096

// put queues a copy of data. It returns net.ErrClosed when the line is closed.
func (d *delayLine) put(data []byte) error {
	c := chunk{data: append([]byte(nil), data...), due: time.Now().Add(d.latency)}
	select {
	case d.queue <- c:
		return nil
	case <-d.done:
		return net.ErrClosed
	}
}

func (d *delayLine) close() { d.once.Do(func() { close(d.done) }) }

// next waits for the next chunk to be due and returns its data; false when the
// line is closed.
func (d *delayLine) next() ([]byte, bool) {
	select {
	case c := <-d.queue:
		d.clock.SleepUntil(c.due)
		return c.data, d.waitWhileHeld()
	case <-d.done:
		return nil, false
	}
}

// waitWhileHeld waits until the network delivers in this direction; false when
// the line is closed first.
func (d *delayLine) waitWhileHeld() bool {
	for {
		held := d.network.heldUntil(d.from, d.to)
		if held == nil {
			return true
		}
		select {
		case <-held:
		case <-d.done:
			return false
		}
	}
}

func newDelayedConn(clock *precise.Clock, n *network, conn net.Conn, latency time.Duration, r route) *delayedConn {
	line := func(from, to endpoint) *delayLine {
		return &delayLine{
			clock: clock, network: n, from: from, to: to, latency: latency,
			queue: make(chan chunk, delayLineCapacity), done: make(chan struct{}),
		}
	}
	return &delayedConn{Conn: conn, network: n, out: line(r.from, r.to), in: line(r.to, r.from)}
}

func (d *delayedConn) start() {
	go d.pumpOut()
	go d.pumpIn()
}

func (d *delayedConn) pumpOut() {
	for {
		data, ok := d.out.next()
		if !ok {
			return
		}
		if _, err := d.Conn.Write(data); err != nil {
			_ = d.Close()
			return
		}
	}
}

func (d *delayedConn) pumpIn() {
	buf := make([]byte, 64<<10)
	for {
		n, err := d.Conn.Read(buf)
		if n > 0 && d.in.put(buf[:n]) != nil {
			return
		}
		if err != nil {
			_ = d.Close()
			return
		}
	}
}

// Write implements net.Conn.
func (d *delayedConn) Write(data []byte) (int, error) {
	if err := d.out.put(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Read implements net.Conn.
func (d *delayedConn) Read(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unread) == 0 {
		data, ok := d.in.next()
		if !ok {
			return 0, net.ErrClosed
		}
		d.unread = data
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// SetReadDeadline implements net.Conn and does nothing: pumpIn reads without a
// deadline, and Read fails when the connection ends.
func (d *delayedConn) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (d *delayedConn) Close() error {
	d.out.close()
	d.in.close()
	d.network.removeConn(d)
	return d.Conn.Close()
}
