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
)

// ErrClosed is returned for frames that a closed link was asked to send. Such
// a frame was never written.
var ErrClosed = errors.New("the link is closed")

// Conn sends and receives frames. Small frames go before chunks of bodies, and
// frames that wait together leave in one message.
type Conn struct {
	ws    *websocket.Conn
	codec *wire.Codec
	idle  time.Duration
	start time.Time

	mu       sync.Mutex
	wake     *sync.Cond
	frames   []wire.Frame
	chunks   []wire.Frame
	closed   bool
	lastSent time.Time

	written counter
	read    counter
	// roundTrip is the shortest of the newest pings, in nanoseconds.
	roundTrip atomic.Int64
}

// newConn starts the writer. idle is the time without traffic after which a
// heartbeat is due; the peer counts as gone after three of them.
func newConn(ws *websocket.Conn, codec *wire.Codec, idle time.Duration) *Conn {
	self := &Conn{ws: ws, codec: codec, idle: idle, start: time.Now(), lastSent: time.Now()}
	self.wake = sync.NewCond(&self.mu)
	ws.SetReadLimit(wire.MaxMessage)
	ws.SetPongHandler(self.pong)
	go self.writeLoop()
	return self
}

// ping measures the round trip. The time travels in the ping and comes back.
func (self *Conn) ping() {
	var sent [8]byte
	binary.BigEndian.PutUint64(sent[:], uint64(time.Since(self.start)))
	// A ping that cannot be sent leaves the distance unknown, which is 0.
	_ = self.ws.WriteControl(websocket.PingMessage, sent[:], time.Now().Add(writeTime))
}

func (self *Conn) pong(data string) error {
	if len(data) != 8 {
		return nil
	}
	sent := time.Duration(binary.BigEndian.Uint64([]byte(data)))
	took := int64(time.Since(self.start) - sent)
	if old := self.roundTrip.Load(); old == 0 || took < old {
		self.roundTrip.Store(took)
	}
	return nil
}

// RoundTrip is the measured time to the peer and back; 0 when not known yet.
func (self *Conn) RoundTrip() time.Duration { return time.Duration(self.roundTrip.Load()) }

// Send queues frames, in order. It returns ErrClosed when the link is closed;
// otherwise the frames may or may not reach the peer.
func (self *Conn) Send(frames ...wire.Frame) error {
	self.mu.Lock()
	defer self.mu.Unlock()
	if self.closed {
		return ErrClosed
	}
	if len(self.frames)+len(self.chunks) > queueBound {
		self.closeLocked()
		return ErrClosed
	}
	for _, frame := range frames {
		if frame.Type() == wire.TypeChunk {
			self.chunks = append(self.chunks, frame)
		} else {
			self.frames = append(self.frames, frame)
		}
	}
	self.wake.Signal()
	return nil
}

// Close closes the link. Frames that wait are dropped.
func (self *Conn) Close() {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.closeLocked()
}

func (self *Conn) closeLocked() {
	if self.closed {
		return
	}
	self.closed = true
	self.frames, self.chunks = nil, nil
	self.wake.Broadcast()
	_ = self.ws.Close()
}

// HeartbeatDue is true when nothing was sent for the idle time.
func (self *Conn) HeartbeatDue(now time.Time) bool {
	self.mu.Lock()
	defer self.mu.Unlock()
	return now.Sub(self.lastSent) >= self.idle
}

// nextBatch waits for frames: all small ones, and one chunk, so that a large
// body never holds up more than one chunk's time.
func (self *Conn) nextBatch(batch []wire.Frame) []wire.Frame {
	self.mu.Lock()
	defer self.mu.Unlock()
	for len(self.frames) == 0 && len(self.chunks) == 0 && !self.closed {
		self.wake.Wait()
	}
	if self.closed {
		return nil
	}
	batch = append(batch, self.frames...)
	clear(self.frames)
	self.frames = self.frames[:0]
	if len(self.chunks) > 0 {
		batch = append(batch, self.chunks[0])
		self.chunks[0] = nil
		self.chunks = self.chunks[1:]
	}
	self.lastSent = time.Now()
	return batch
}

func (self *Conn) writeLoop() {
	defer self.Close()
	var buf bytes.Buffer
	var batch []wire.Frame
	for {
		batch = self.nextBatch(batch[:0])
		if batch == nil {
			return
		}
		if err := self.writeBatch(&buf, batch); err != nil {
			return
		}
	}
}

func (self *Conn) writeBatch(buf *bytes.Buffer, batch []wire.Frame) error {
	buf.Reset()
	for i, frame := range batch {
		if err := self.codec.Append(buf, frame); err != nil {
			return err
		}
		if buf.Len() < batchBytes && i < len(batch)-1 {
			continue
		}
		if err := self.writeMessage(buf); err != nil {
			return err
		}
		buf.Reset()
	}
	return nil
}

func (self *Conn) writeMessage(buf *bytes.Buffer) error {
	if err := self.ws.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	self.written.add(buf.Len())
	return self.ws.WriteMessage(websocket.BinaryMessage, buf.Bytes())
}

// missedHeartbeats is how many idle times without a frame end a link.
const missedHeartbeats = 3

// readLoop hands each frame to receive until the link ends, and returns why.
func (self *Conn) readLoop(receive func(wire.Frame) error) error {
	defer self.Close()
	for {
		if err := self.ws.SetReadDeadline(time.Now().Add(missedHeartbeats * self.idle)); err != nil {
			return err
		}
		_, data, err := self.ws.ReadMessage()
		if err != nil {
			return err
		}
		self.read.add(len(data))
		if err := self.readMessage(data, receive); err != nil {
			return err
		}
	}
}

// BadFrameError ends a link: the peer sent something that is no frame.
type BadFrameError struct{ Cause error }

// Error implements error.
func (self *BadFrameError) Error() string { return "bad frame: " + self.Cause.Error() }

func (self *Conn) readMessage(data []byte, receive func(wire.Frame) error) error {
	for len(data) > 0 {
		frame, rest, err := self.codec.Next(data)
		if err != nil {
			return &BadFrameError{Cause: err}
		}
		if err := receive(frame); err != nil {
			return err
		}
		data = rest
	}
	return nil
}
