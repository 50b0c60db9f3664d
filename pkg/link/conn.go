// Package link carries calls and control messages between daemons: one
// WebSocket connection a pair and direction, many calls at once.
// Source: docs/design/links.md.
package link

import (
	"bytes"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/netdial"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/traffic"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// batchBytes is how much one WebSocket message gathers at most, before the
	// frame that crosses it.
	batchBytes = 64 << 10
	// queueBound is how many frames may wait for a slow peer before the link
	// counts as broken.
	queueBound = 16 << 10
	writeTime  = 5 * time.Second
	// unsentBytes is how much may wait unsent in the kernel, in front of every later
	// frame: 13 ms on the users' slowest links (10 Mbit/s), in which a writer wakes.
	// The kernel's own bound is some megabytes.
	unsentBytes = 16 << 10
)

// ErrClosed is returned for frames that a closed link was asked to send. Such
// a frame was never written.
var ErrClosed = errors.New("the link is closed")

// Conn sends and receives frames. Small frames go before chunks of bodies, and
// frames that wait together leave in one message.
type Conn struct {
	ws    *websocket.Conn
	codec *wire.Codec
	pace  *HeartbeatTiming
	start time.Time

	mu       sync.Mutex
	wake     *sync.Cond
	frames   []wire.Frame
	chunks   []wire.Frame
	closed   bool
	lastSent time.Time
	// saidIdle is how long this side last said that it may be silent; 0: it did not.
	saidIdle time.Duration

	account *traffic.Counters
	// place is a place.Place: how far the peer is, once it has greeted.
	place atomic.Uint32

	written counter
	read    counter
	// roundTrip is the shortest of the pings, in nanoseconds.
	roundTrip atomic.Int64
	pings     atomic.Int64
	// heardAt is when anything last came from the peer, since start.
	heardAt atomic.Int64
	// askedAt is when the peer was first asked for a sign of life that has not
	// come, since start; it is void once something came after it.
	askedAt atomic.Int64
	// peerIdle is how long the peer said that it may be silent, in nanoseconds.
	peerIdle atomic.Int64
}

// newConn starts the writer.
func newConn(ws *websocket.Conn, codec *wire.Codec, account *traffic.Counters, pace *HeartbeatTiming) *Conn {
	c := &Conn{ws: ws, codec: codec, account: account, pace: pace, start: time.Now(), lastSent: time.Now()}
	c.wake = sync.NewCond(&c.mu)
	ws.SetReadLimit(wire.MaxMessage)
	// Where the system has no such bound, small frames wait behind whole bodies.
	_ = netdial.LimitUnsent(ws.NetConn(), unsentBytes)
	ws.SetPongHandler(c.pong)
	go c.writeLoop()
	return c
}

// NewClosedConn makes a connection that was closed: it takes no frame. It stands
// in for a link in tests of what systems decide.
func NewClosedConn() *Conn {
	c := &Conn{closed: true, start: time.Now(), pace: NewHeartbeatTiming(time.Minute)}
	c.wake = sync.NewCond(&c.mu)
	return c
}

// mostPings is how often the round trip of a link is measured. The first ping
// meets the busiest moment of a link, the greeting; the shortest counts.
const mostPings = 4

// MeasureRoundTrip pings the peer once more, a few times in a link's life.
func (c *Conn) MeasureRoundTrip() {
	if c.pings.Load() < mostPings {
		c.ping()
	}
}

// Silence is how long nothing has come from the peer.
func (c *Conn) Silence() time.Duration {
	return time.Since(c.start) - time.Duration(c.heardAt.Load())
}

// Probe asks the peer for a sign of life; Silence shows whether one came. It
// does not wait: a link behind a cut may not take even a ping.
func (c *Conn) Probe() {
	asked, heard := c.askedAt.Load(), c.heardAt.Load()
	if asked <= heard {
		c.askedAt.CompareAndSwap(asked, int64(time.Since(c.start)))
	}
	go c.ping()
}

// UnansweredFor is for how long the peer has owed a sign of life that it was asked
// for; 0: it owes none.
func (c *Conn) UnansweredFor() time.Duration {
	asked := c.askedAt.Load()
	if asked <= c.heardAt.Load() {
		return 0
	}
	return time.Since(c.start) - time.Duration(asked)
}

// ping measures the round trip. The time travels in the ping and comes back.
func (c *Conn) ping() {
	c.pings.Add(1)
	var sent [8]byte
	binary.BigEndian.PutUint64(sent[:], uint64(time.Since(c.start)))
	// A ping that cannot be sent leaves the distance unknown, which is 0.
	_ = c.ws.WriteControl(websocket.PingMessage, sent[:], time.Now().Add(writeTime))
}

func (c *Conn) pong(data string) error {
	c.heardAt.Store(int64(time.Since(c.start)))
	if len(data) != 8 {
		return nil
	}
	sent := time.Duration(binary.BigEndian.Uint64([]byte(data)))
	took := int64(time.Since(c.start) - sent)
	if old := c.roundTrip.Load(); old == 0 || took < old {
		c.roundTrip.Store(took)
	}
	return nil
}

// MinRTT is the measured time to the peer and back; 0 when not known yet.
func (c *Conn) MinRTT() time.Duration { return time.Duration(c.roundTrip.Load()) }

// Send queues frames, in order. It returns ErrClosed when the link is closed;
// otherwise the frames may or may not reach the peer.
func (c *Conn) Send(frames ...wire.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	if len(c.frames)+len(c.chunks) > queueBound {
		c.closeLocked()
		return ErrClosed
	}
	for _, frame := range frames {
		if idle := idleOf(frame); idle > 0 {
			c.saidIdle = idle
		}
		if frame.Type() == wire.TypeChunk {
			c.chunks = append(c.chunks, frame)
		} else {
			c.frames = append(c.frames, frame)
		}
	}
	c.wake.Signal()
	return nil
}

// Close closes the link. Frames that wait are dropped.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *Conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	c.frames, c.chunks = nil, nil
	c.wake.Broadcast()
	_ = c.ws.Close()
}

// setPlace notes how far the peer is.
func (c *Conn) setPlace(p proximity.Level) { c.place.Store(uint32(p)) }

// Proximity is how far the peer is; Unknown until it has greeted.
func (c *Conn) Proximity() proximity.Level { return proximity.Level(c.place.Load()) }

// HeartbeatDue is true when nothing was sent for the idle time. A longer one than
// the peer was told of holds once it was: that heartbeat goes at the former pace.
func (c *Conn) HeartbeatDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.pace.Idle(c.Proximity())
	if c.saidIdle > 0 {
		idle = min(idle, c.saidIdle)
	}
	return now.Sub(c.lastSent) >= idle
}

// patience is for how long the peer may say nothing before the link ends: as this
// side reckons from the size of the fleet, or longer where the peer said so.
func (c *Conn) patience() time.Duration {
	return max(c.pace.SilenceTimeout(), MaxMissedHeartbeats*time.Duration(c.peerIdle.Load()))
}

// idleOf is what a frame says of how long its sender may be silent; 0: nothing.
func idleOf(frame wire.Frame) time.Duration {
	switch f := frame.(type) {
	case *wire.Hello:
		return f.State.Idle()
	case *wire.State:
		return f.Idle()
	}
	return 0
}

// nextBatch waits for frames: all small ones, and one chunk, so that a large
// body never holds up more than one chunk's time.
func (c *Conn) nextBatch(batch []wire.Frame) []wire.Frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.frames) == 0 && len(c.chunks) == 0 && !c.closed {
		c.wake.Wait()
	}
	if c.closed {
		return nil
	}
	batch = append(batch, c.frames...)
	clear(c.frames)
	c.frames = c.frames[:0]
	if len(c.chunks) > 0 {
		batch = append(batch, c.chunks[0])
		c.chunks[0] = nil
		c.chunks = c.chunks[1:]
	}
	c.lastSent = time.Now()
	return batch
}

func (c *Conn) writeLoop() {
	defer c.Close()
	var buf bytes.Buffer
	var batch []wire.Frame
	for {
		batch = c.nextBatch(batch[:0])
		if batch == nil {
			return
		}
		if err := c.writeBatch(&buf, batch); err != nil {
			return
		}
	}
}

func (c *Conn) writeBatch(buf *bytes.Buffer, batch []wire.Frame) error {
	buf.Reset()
	for i, frame := range batch {
		before := buf.Len()
		if err := c.codec.Append(buf, frame); err != nil {
			return err
		}
		c.account.CountSent(c.Proximity(), frame.Type(), buf.Len()-before)
		if buf.Len() < batchBytes && i < len(batch)-1 {
			continue
		}
		if err := c.writeMessage(buf); err != nil {
			return err
		}
		buf.Reset()
	}
	return nil
}

func (c *Conn) writeMessage(buf *bytes.Buffer) error {
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	c.written.add(buf.Len())
	return c.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes())
}

// readLoop hands each frame to receive until the link ends, and returns why.
func (c *Conn) readLoop(receive func(wire.Frame) error) error {
	defer c.Close()
	for {
		if err := c.ws.SetReadDeadline(time.Now().Add(c.patience())); err != nil {
			return err
		}
		_, data, err := c.ws.ReadMessage()
		if err != nil {
			return err
		}
		c.read.add(len(data))
		c.heardAt.Store(int64(time.Since(c.start)))
		if err := c.readMessage(data, receive); err != nil {
			return err
		}
	}
}

// BadFrameError ends a link: the peer sent something that is no frame.
type BadFrameError struct{ Cause error }

// Error implements error.
func (b *BadFrameError) Error() string { return "bad frame: " + b.Cause.Error() }

func (c *Conn) readMessage(data []byte, receive func(wire.Frame) error) error {
	for len(data) > 0 {
		frame, rest, err := c.codec.Next(data)
		if err != nil {
			return &BadFrameError{Cause: err}
		}
		data = rest
		if frame == nil {
			// Of a type that a later release has added.
			continue
		}
		if idle := idleOf(frame); idle > 0 {
			c.peerIdle.Store(int64(min(idle, longestIdle)))
		}
		if err := receive(frame); err != nil {
			return err
		}
	}
	return nil
}
