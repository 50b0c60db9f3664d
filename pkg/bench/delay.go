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

// dialer returns the dial function of a VM. Its connections hold back each byte
// for the one-way latency in both directions, in order, and meet the faults of
// the network. Without latency and faults it is an ordinary dial.
func (c *cluster) dialer(from end) link.Dial {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, proto, address)
		if err != nil {
			return nil, err
		}
		to := c.endOf(address)
		latency := c.deployment.OneWayLatency
		if to.dataCentre == from.dataCentre {
			latency = 0
		}
		if latency == 0 && !c.faulty {
			return conn, nil
		}
		out := newDelayed(c.clock, c.network, conn, latency, route{from, to})
		if !c.network.enter(out, route{from, to}) {
			_ = out.Close()
			return nil, errParted
		}
		out.start()
		return out, nil
	}
}

var errParted = errors.New("the network is parted")

// delayed is a connection with latency.
type delayed struct {
	net.Conn
	network *network
	out     *delayLine
	in      *delayLine

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
	network *network
	from    end
	to      end
	latency time.Duration
	queue   chan parcel
	done    chan struct{}
	once    sync.Once
}

const delayQueue = 4096

func (d *delayLine) put(data []byte) error {
	p := parcel{data: append([]byte(nil), data...), due: time.Now().Add(d.latency)}
	select {
	case d.queue <- p:
		return nil
	case <-d.done:
		return net.ErrClosed
	}
}

func (d *delayLine) close() { d.once.Do(func() { close(d.done) }) }

// next returns the next parcel's data when it is due; false when closed.
func (d *delayLine) next() ([]byte, bool) {
	select {
	case p := <-d.queue:
		d.clock.SleepUntil(p.due)
		return p.data, d.waitForDelivery()
	case <-d.done:
		return nil, false
	}
}

// waitForDelivery waits while the direction is held; false when closed.
func (d *delayLine) waitForDelivery() bool {
	for {
		held := d.network.holding(d.from, d.to)
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

func newDelayed(clock *precise.Clock, n *network, conn net.Conn, latency time.Duration, r route) *delayed {
	line := func(from, to end) *delayLine {
		return &delayLine{
			clock: clock, network: n, from: from, to: to, latency: latency,
			queue: make(chan parcel, delayQueue), done: make(chan struct{}),
		}
	}
	return &delayed{Conn: conn, network: n, out: line(r.from, r.to), in: line(r.to, r.from)}
}

func (d *delayed) start() {
	go d.pumpOut()
	go d.pumpIn()
}

func (d *delayed) pumpOut() {
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

func (d *delayed) pumpIn() {
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
func (d *delayed) Write(data []byte) (int, error) {
	if err := d.out.put(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Read implements net.Conn.
func (d *delayed) Read(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rest) == 0 {
		data, ok := d.in.next()
		if !ok {
			return 0, net.ErrClosed
		}
		d.rest = data
	}
	n := copy(p, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// SetReadDeadline implements net.Conn. The pump reads on; a peer that is
// silent ends the link when its connection ends.
func (d *delayed) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (d *delayed) Close() error {
	d.out.close()
	d.in.close()
	d.network.leave(d)
	return d.Conn.Close()
}
