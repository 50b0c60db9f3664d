package link

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/wire"
)

// ackSender is the executor's side of acknowledgements on one link. It sends an Ack frame
// only if no other frame acknowledges the waiting calls within acks.MaxDelay. It is safe for
// concurrent use.
type ackSender struct {
	send func(...wire.Frame) error

	mu sync.Mutex
	// receivedID is the id of the latest call, wantedID that of the latest call that asks
	// for an ack, and sentID the highest id of a sent frame that acknowledges calls.
	receivedID uint64
	wantedID   uint64
	sentID     uint64
	// timer is nil while no ack is due.
	timer *time.Timer
}

// received records a call of the entry.
func (a *ackSender) received(f *wire.Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receivedID = f.ID
	if !f.WantAck {
		return
	}
	a.wantedID = f.ID
	if a.timer == nil {
		a.timer = time.AfterFunc(acks.MaxDelay, a.due)
	}
}

// due sends an Ack frame if a call still waits for one.
func (a *ackSender) due() {
	a.mu.Lock()
	a.timer = nil
	id := a.receivedID
	needed := a.wantedID > a.sentID
	a.mu.Unlock()
	if needed {
		// If the link is closed, the entry has already ended the calls.
		_ = a.send(&wire.Ack{ID: id})
	}
}

// sent records frames that are sent to the entry.
func (a *ackSender) sent(frames []wire.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, frame := range frames {
		if id, ok := acknowledgedID(frame); ok {
			a.sentID = max(a.sentID, id)
		}
	}
	if a.timer != nil && a.wantedID <= a.sentID {
		a.stopLocked()
	}
}

// stop prevents further acks once the link has ended.
func (a *ackSender) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopLocked()
}

// stopLocked stops the timer. The caller holds mu.
func (a *ackSender) stopLocked() {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
}

// Send sends frames to the entry, as Conn.Send does.
func (s *session) Send(frames ...wire.Frame) error {
	s.acks.sent(frames)
	return s.Peer.Send(frames...)
}
