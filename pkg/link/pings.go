package link

import (
	"encoding/binary"
	"time"

	"github.com/gorilla/websocket"
)

// maxPings is the number of pings on a link, including those of Probe, after which
// MeasureRTT sends no more. One ping is not enough: the first is slow, since a link is
// busiest just after it was opened.
const maxPings = 4

// MeasureRTT sends another ping to the peer, unless maxPings were sent. MinRTT returns the
// result.
func (c *Conn) MeasureRTT() {
	if c.pingsSent.Load() < maxPings {
		c.ping()
	}
}

// Silence returns the time since the last message or pong was received from the peer.
func (c *Conn) Silence() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastReceivedAt.Load())
}

// Probe sends a ping to check that the peer still responds. It does not wait for the ping to
// be sent, which may block while the network is down. Silence and UnansweredFor tell whether
// the peer has answered.
func (c *Conn) Probe() {
	probedAt, receivedAt := c.probedAt.Load(), c.lastReceivedAt.Load()
	if probedAt <= receivedAt {
		c.probedAt.CompareAndSwap(probedAt, int64(time.Since(c.start)))
	}
	go c.ping()
}

// UnansweredFor returns the time since the oldest unanswered probe; 0: all probes are
// answered.
func (c *Conn) UnansweredFor() time.Duration {
	probedAt := c.probedAt.Load()
	if probedAt <= c.lastReceivedAt.Load() {
		return 0
	}
	return time.Since(c.start) - time.Duration(probedAt)
}

// ping sends a ping that contains the time. The pong returns it, so that pong can compute
// the round-trip time.
func (c *Conn) ping() {
	c.pingsSent.Add(1)
	var payload [8]byte
	binary.BigEndian.PutUint64(payload[:], uint64(time.Since(c.start)))
	// If the ping cannot be sent, minRTT keeps its value.
	_ = c.ws.WriteControl(websocket.PingMessage, payload[:], time.Now().Add(writeTimeout))
}

// pong handles a pong frame of the WebSocket protocol. data is what ping has sent.
func (c *Conn) pong(data string) error {
	c.lastReceivedAt.Store(int64(time.Since(c.start)))
	if len(data) != 8 {
		return nil
	}
	sentAt := time.Duration(binary.BigEndian.Uint64([]byte(data)))
	rtt := int64(time.Since(c.start) - sentAt)
	if old := c.minRTT.Load(); old == 0 || rtt < old {
		c.minRTT.Store(rtt)
	}
	return nil
}

// MinRTT returns the shortest round-trip time measured on the link; 0: not known yet.
func (c *Conn) MinRTT() time.Duration { return time.Duration(c.minRTT.Load()) }
