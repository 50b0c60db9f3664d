package link

import "sync/atomic"

// counter counts messages and their bytes.
type counter struct {
	messages atomic.Int64
	bytes    atomic.Int64
}

func (c *counter) add(size int) {
	c.messages.Add(1)
	c.bytes.Add(int64(size))
}

// Traffic is what one link has carried.
type Traffic struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn int64
}

// Traffic returns what the link has carried so far.
func (c *Conn) Traffic() Traffic {
	return Traffic{
		MessagesOut: c.written.messages.Load(), BytesOut: c.written.bytes.Load(),
		MessagesIn: c.read.messages.Load(), BytesIn: c.read.bytes.Load(),
	}
}
