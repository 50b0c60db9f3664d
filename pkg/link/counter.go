package link

import "sync/atomic"

// counter counts messages and their bytes.
type counter struct {
	messages atomic.Int64
	bytes    atomic.Int64
}

func (self *counter) add(size int) {
	self.messages.Add(1)
	self.bytes.Add(int64(size))
}

// Traffic is what one link has carried.
type Traffic struct {
	MessagesOut, BytesOut, MessagesIn, BytesIn int64
}

// Traffic returns what the link has carried so far.
func (self *Conn) Traffic() Traffic {
	return Traffic{
		MessagesOut: self.written.messages.Load(), BytesOut: self.written.bytes.Load(),
		MessagesIn: self.read.messages.Load(), BytesIn: self.read.bytes.Load(),
	}
}
