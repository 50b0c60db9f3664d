// Package link sends calls and control frames between daemons. A link is one WebSocket
// connection, opened by the daemon that sends calls over it, and carries many calls at a
// time. Two daemons that call each other have two links. Source: docs/design/links.md.
package link

import (
	"bytes"
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
	// flushBytes is the size from which no further frame is added to a WebSocket message.
	flushBytes = 64 << 10
	// maxQueuedFrames is how many frames may wait to be sent to a slow peer. The link is
	// closed beyond that.
	maxQueuedFrames = 16 << 10
	writeTimeout    = 5 * time.Second
	// maxUnsentBytes limits the unsent bytes in the kernel's buffer, which delay each later
	// frame: by 13 ms on a link of 10 Mbit/s, enough time for the writer to wake and refill
	// the buffer. The kernel's default limit is some megabytes.
	maxUnsentBytes = 16 << 10
)

// ErrClosed is returned when frames are sent on a closed link. None of them was written.
var ErrClosed = errors.New("the link is closed")

// Conn sends and receives the frames of one link. Queued frames are sent together in one
// message, and chunks of bodies after all other frames. It is safe for concurrent use.
type Conn struct {
	ws     *websocket.Conn
	codec  *wire.Codec
	timing *HeartbeatTiming
	start  time.Time

	mu sync.Mutex
	// wake is signalled when frames are queued, and when the link is closed.
	wake *sync.Cond
	// chunks holds the queued Chunk frames, and frames all other queued frames. writing holds
	// the frames that the writer has taken and not written yet.
	frames  []wire.Frame
	chunks  chunkQueue
	writing []wire.Frame
	// ending is true once Shutdown has been called. Queued frames are still written then.
	ending bool
	// lastCall is what Shutdown tells the peer.
	lastCall uint64
	closed   bool
	// ended is closed with the link.
	ended chan struct{}
	// dropped is what was unsent when the link was closed.
	dropped  unsentFrames
	lastSent time.Time
	// statedIdle is the longest idle time that this side has last stated to the peer; 0:
	// none.
	statedIdle time.Duration

	counters *traffic.Counters
	// proximity is the proximity.Level of the peer, known once its hello frame has arrived.
	proximity atomic.Uint32

	sent     messageCounter
	received messageCounter
	// minRTT is the shortest round-trip time of the pings, in nanoseconds; 0: not known.
	minRTT    atomic.Int64
	pingsSent atomic.Int64
	// lastReceivedAt is when the last message or pong was received, in nanoseconds since
	// start.
	lastReceivedAt atomic.Int64
	// probedAt is when the oldest unanswered probe was sent, in nanoseconds since start. The
	// probe is answered if lastReceivedAt is not before it.
	probedAt atomic.Int64
	// peerIdle is the longest idle time that the peer has last stated, in nanoseconds; 0:
	// none.
	peerIdle atomic.Int64
	// decoded holds the frames of the message that is being handled, cancelledIDs the ids
	// of the calls that it cancels. Only the reading goroutine uses them.
	decoded      []wire.Frame
	cancelledIDs []uint64
}

// newConn returns a connection over ws and starts its writer.
func newConn(ws *websocket.Conn, codec *wire.Codec, counters *traffic.Counters, timing *HeartbeatTiming) *Conn {
	c := &Conn{ws: ws, codec: codec, counters: counters, timing: timing, start: time.Now(), lastSent: time.Now(), ended: make(chan struct{})}
	c.wake = sync.NewCond(&c.mu)
	ws.SetReadLimit(wire.MaxMessage)
	// On a system without this limit, other frames wait behind the buffered chunks of
	// bodies.
	_ = netdial.LimitUnsent(ws.NetConn(), maxUnsentBytes)
	ws.SetPongHandler(c.pong)
	go c.writeLoop()
	return c
}

// NewClosedConn returns a closed connection, which accepts no frames. Tests of the systems
// use it in place of a link.
func NewClosedConn() *Conn {
	c := &Conn{closed: true, ended: make(chan struct{}), start: time.Now(), timing: NewHeartbeatTiming(time.Minute)}
	close(c.ended)
	c.wake = sync.NewCond(&c.mu)
	return c
}

// Send queues frames in order, except that chunks of bodies are sent after other frames. It
// returns ErrClosed if the link is closed or shut down. If too many frames are queued, it closes
// the link and returns ErrClosed. Frames that were queued without an error may not reach the peer.
func (c *Conn) Send(frames ...wire.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.ending {
		return ErrClosed
	}
	if len(c.frames)+c.chunks.len() > maxQueuedFrames {
		c.closeLocked()
		return ErrClosed
	}
	for _, frame := range frames {
		if idle := statedIdleOf(frame); idle > 0 {
			c.statedIdle = idle
		}
		if chunk, ok := frame.(*wire.Chunk); ok {
			c.chunks.push(chunk)
		} else {
			c.frames = append(c.frames, frame)
		}
	}
	c.wake.Signal()
	return nil
}

// Close closes the link. Queued frames are dropped.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the link. The caller holds mu.
func (c *Conn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	c.dropped = c.unsentLocked()
	c.frames = nil
	c.chunks.discard()
	c.wake.Broadcast()
	_ = c.ws.Close()
	close(c.ended)
}

func (c *Conn) setProximity(level proximity.Level) { c.proximity.Store(uint32(level)) }

// Proximity returns how far the peer is. It is proximity.Unknown until the peer's hello
// frame has arrived.
func (c *Conn) Proximity() proximity.Level { return proximity.Level(c.proximity.Load()) }

// HeartbeatDue reports whether nothing was sent for the idle time of the link. An idle time
// longer than the one last stated to the peer applies only after a heartbeat has stated it,
// so that the peer does not close the link before.
func (c *Conn) HeartbeatDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.timing.Idle(c.Proximity())
	if c.statedIdle > 0 {
		idle = min(idle, c.statedIdle)
	}
	return now.Sub(c.lastSent) >= idle
}

// readTimeout returns for how long the peer may send nothing before the link is closed:
// this side's own silence timeout, or more if the peer has stated a longer idle time.
func (c *Conn) readTimeout() time.Duration {
	return max(c.timing.SilenceTimeout(), MaxMissedHeartbeats*time.Duration(c.peerIdle.Load()))
}

// statedIdleOf returns the longest idle time that a frame states for its sender; 0: none.
func statedIdleOf(frame wire.Frame) time.Duration {
	switch f := frame.(type) {
	case *wire.Hello:
		return f.State.Idle()
	case *wire.State:
		return f.Idle()
	}
	return 0
}

// nextBatch waits for queued frames, and appends them to batch: one chunk of a body at most, and
// all other frames. So a frame is never delayed by more than one chunk of a large body. The frames
// of the batch before were written. nextBatch returns nil when the link is closed, or shut down and
// no frame is left.
func (c *Conn) nextBatch(batch []wire.Frame) []wire.Frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
	for len(c.frames) == 0 && c.chunks.len() == 0 && !c.closed && !c.ending {
		c.wake.Wait()
	}
	if c.closed || len(c.frames) == 0 && c.chunks.len() == 0 {
		return nil
	}
	batch = append(batch, c.frames...)
	clear(c.frames)
	c.frames = c.frames[:0]
	if chunk := c.chunks.pop(); chunk != nil {
		batch = append(batch, chunk)
	}
	c.lastSent = time.Now()
	c.writing = batch
	return batch
}

// writeLoop sends the queued frames until the link is closed or shut down.
func (c *Conn) writeLoop() {
	var buf bytes.Buffer
	var batch []wire.Frame
	for {
		batch = c.nextBatch(batch[:0])
		if batch == nil {
			c.sendClose()
			return
		}
		if err := c.writeBatch(&buf, batch); err != nil {
			c.Close()
			return
		}
	}
}

// writeBatch sends frames in as few messages as flushBytes allows.
func (c *Conn) writeBatch(buf *bytes.Buffer, batch []wire.Frame) error {
	buf.Reset()
	for i, frame := range batch {
		before := buf.Len()
		if err := c.codec.Append(buf, frame); err != nil {
			return err
		}
		c.counters.CountSent(c.Proximity(), frame.Type(), buf.Len()-before)
		if buf.Len() < flushBytes && i < len(batch)-1 {
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
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	c.sent.add(buf.Len())
	return c.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes())
}

// readLoop calls receive with each frame until the link ends or receive returns an error. It
// returns the error that ended the link.
func (c *Conn) readLoop(receive func(wire.Frame) error) error {
	defer c.Close()
	for {
		if err := c.ws.SetReadDeadline(time.Now().Add(c.readTimeout())); err != nil {
			return err
		}
		_, data, err := c.ws.ReadMessage()
		if err != nil {
			return err
		}
		c.received.add(len(data))
		c.lastReceivedAt.Store(int64(time.Since(c.start)))
		if err := c.readMessage(data, receive); err != nil {
			return err
		}
	}
}

// BadFrameError ends a link: the peer sent data that is not a frame, or a frame that is not
// allowed at this point.
type BadFrameError struct{ Cause error }

// Error implements error.
func (e *BadFrameError) Error() string { return "bad frame: " + e.Cause.Error() }

// readMessage decodes the frames of one message and calls receive with each.
func (c *Conn) readMessage(data []byte, receive func(wire.Frame) error) error {
	frames, decodeErr := c.decodeMessage(data)
	defer clear(frames)
	for _, frame := range frames {
		if idle := statedIdleOf(frame); idle > 0 {
			c.peerIdle.Store(int64(min(idle, maxStatedIdle)))
		}
		if err := receive(frame); err != nil {
			return err
		}
	}
	return decodeErr
}
