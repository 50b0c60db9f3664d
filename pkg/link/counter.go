package link

import "sync/atomic"

// messageCounter counts WebSocket messages and their bytes.
type messageCounter struct {
	messages atomic.Int64
	bytes    atomic.Int64
}

func (c *messageCounter) add(size int) {
	c.messages.Add(1)
	c.bytes.Add(int64(size))
}

// Traffic counts the WebSocket messages of one link, and their bytes, in each direction.
type Traffic struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn int64
}

// Traffic returns the messages and bytes sent and received so far.
func (c *Conn) Traffic() Traffic {
	return Traffic{
		MessagesOut: c.sent.messages.Load(), BytesOut: c.sent.bytes.Load(),
		MessagesIn: c.received.messages.Load(), BytesIn: c.received.bytes.Load(),
	}
}
