// Package grants decides when the senders of large bodies may send which bytes. The receiver
// decides, over all its links together: it keeps the bytes that are granted but have not
// arrived close to what the path holds, so that other frames do not wait behind bodies, and
// grants the most urgent transfers first. Times are nanoseconds of a monotonic clock that the
// owner passes in. Source: docs/design/receiver-driven-bodies.md.
package grants

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxPiece and minPiece bound how many bytes of a body are granted at a time. Between
	// them, a piece is what arrives in pieceTime.
	maxPiece  = 8 << 10
	minPiece  = 2 << 10
	pieceTime = 2 * time.Millisecond
	// maxUplinkTime limits how much of the time of a piece on its sender's own link counts
	// towards the mean round-trip time, in nanoseconds: a sender that shares the receiver's
	// link with others may seem slower than it is.
	maxUplinkTime = float64(pieceTime)
	// firstPiece is the size of a piece while no rate has been learnt.
	firstPiece = 4 << 10
	// maxBurstPieces is how many pieces the pace allows at once, since timers may fire some
	// milliseconds late.
	maxBurstPieces = 2
	// stallFactor is the time of a piece, as a multiple of its expected time, after which its
	// sender counts as stalled.
	stallFactor = 4
	// minStallBound is the least bound: processes may wait that long for a processor.
	// unknownStallBound applies while no rate has been learnt.
	minStallBound     = 50 * time.Millisecond
	unknownStallBound = 250 * time.Millisecond
	// RateValidity is how long, in nanoseconds, a learnt rate is used for predictions. Without the
	// limit, a rate that is too low could have all bodies refused and never be corrected.
	RateValidity = int64(5 * time.Second)
)

// ErrNotGranted is returned for bytes that arrive without a grant.
var ErrNotGranted = errors.New("more bytes of a body arrived than were granted")

// ID identifies a transfer; 0: none.
type ID uint64

// Sender identifies a sender: one accepted link.
type Sender uint64

// Transfer is a body that a sender wants to send.
type Transfer struct {
	Sender Sender
	// Size is in bytes, above 0.
	Size int64
	// Rank orders transfers, lowest first; those of one rank are ordered by StartBy, the
	// latest time at which it is worth starting the run. Transfers whose StartBy has passed
	// come last in their rank.
	Rank    uint16
	StartBy int64
}

// Grant allows the sender of a transfer to send its bytes up to Offset.
type Grant struct {
	ID     ID
	Offset int64
}

// piece is a part of a body that was granted and has not arrived as a whole.
type piece struct {
	// missing is the number of its bytes that have not arrived.
	missing int64
	// due is the time at which its sender counts as stalled.
	due int64
	// returned is true once its credit has returned to the shared pipe.
	returned    bool
	own, shared grantRecord
}

// transfer is the state of a transfer.
type transfer struct {
	Transfer
	id      ID
	sender  *sender
	granted int64
	arrived int64
	// pieces are on the way, the oldest first.
	pieces []*piece
}

// sender is the state of a sender.
type sender struct {
	pipe
	// stalled is true while a piece is overdue and nothing has arrived since.
	stalled bool
}

// Scheduler decides on the grants of one receiver. It is not safe for concurrent use.
type Scheduler struct {
	shared    pipe
	senders   map[Sender]*sender
	transfers []*transfer
	lastID    ID
	// paceTokens is the number of bytes that the pace allowed to be granted at paceTokensAt.
	paceTokens   float64
	paceTokensAt int64
}

// NewScheduler returns a scheduler without transfers.
func NewScheduler() *Scheduler {
	return &Scheduler{shared: pipe{gain: sharedGain}, senders: map[Sender]*sender{}}
}

// Add adds a transfer.
func (s *Scheduler) Add(t Transfer) ID {
	s.lastID++
	s.transfers = append(s.transfers, &transfer{Transfer: t, id: s.lastID, sender: s.sender(t.Sender)})
	return s.lastID
}

// SetRoundTrip sets the shortest round-trip time measured on the link of a sender.
func (s *Scheduler) SetRoundTrip(id Sender, roundTrip time.Duration) {
	s.sender(id).roundTrip = float64(roundTrip)
}

// sender returns the state of a sender.
func (s *Scheduler) sender(id Sender) *sender {
	from := s.senders[id]
	if from == nil {
		from = &sender{pipe: pipe{gain: senderGain}}
		s.senders[id] = from
	}
	return from
}

// Arrived records that the next n bytes of a transfer have arrived. whole is true if they
// were the last, which ends the transfer. Arrived returns ErrNotGranted if the bytes were not
// granted, and ignores those of a removed transfer.
func (s *Scheduler) Arrived(now int64, id ID, n int64) (whole bool, err error) {
	t := s.find(id)
	if t == nil {
		return false, nil
	}
	if n > t.granted-t.arrived {
		return false, ErrNotGranted
	}
	t.arrived += n
	t.sender.stalled = false
	t.sender.deliver(now, n)
	s.shared.deliver(now, n)
	for n > 0 {
		n -= s.reduceOldest(now, t, n)
	}
	if t.arrived < t.Size {
		return false, nil
	}
	s.Remove(id)
	return true, nil
}

// reduceOldest takes up to n arrived bytes off the oldest piece of a transfer and returns how
// many.
func (s *Scheduler) reduceOldest(now int64, t *transfer, n int64) int64 {
	p := t.pieces[0]
	n = min(n, p.missing)
	p.missing -= n
	t.sender.outstanding -= n
	if !p.returned {
		s.shared.outstanding -= n
	}
	if p.missing > 0 {
		return n
	}
	t.pieces = t.pieces[1:]
	t.sender.measure(now, &p.own)
	s.shared.measure(now, &p.shared)
	return n
}

// Remove ends a transfer and returns its credit. It returns how many of the body's bytes
// were granted and have arrived; both are 0 for an unknown transfer.
func (s *Scheduler) Remove(id ID) (granted, arrived int64) {
	i := slices.IndexFunc(s.transfers, func(t *transfer) bool { return t.id == id })
	if i < 0 {
		return 0, 0
	}
	t := s.transfers[i]
	s.transfers = slices.Delete(s.transfers, i, i+1)
	for _, p := range t.pieces {
		t.sender.outstanding -= p.missing
		if !p.returned {
			s.shared.outstanding -= p.missing
		}
	}
	if t.sender.outstanding == 0 {
		// Nothing is on the way that could show that the sender works again.
		t.sender.stalled = false
	}
	return t.granted, t.arrived
}

// RemoveSender ends the transfers of a sender and forgets what was learnt of it.
func (s *Scheduler) RemoveSender(id Sender) {
	from := s.senders[id]
	delete(s.senders, id)
	for _, t := range slices.Clone(s.transfers) {
		if t.sender == from {
			s.Remove(t.id)
		}
	}
}

// Tick returns the grants that are to be sent now, and one transfer of each sender that has
// just stalled, which means that its granted bytes have not arrived within the bound; other
// senders get their credit. Tick is to be called after every change and at the time that
// NextDue returns.
func (s *Scheduler) Tick(now int64) (grants []Grant, stalled []ID) {
	stalled = s.returnOverdue(now)
	piece := s.pieceSize()
	s.shared.countTrips(now, piece)
	for _, from := range s.senders {
		from.countTrips(now, from.pieceSize(piece))
	}
	s.addPaceTokens(now, piece)
	for !s.shared.isFull(piece) {
		t := s.next(now, piece)
		if t == nil {
			s.shared.noteSenderLimited()
			break
		}
		if s.paceTokens < float64(piece) {
			break
		}
		s.grantPiece(now, t, t.sender.pieceSize(piece))
		if last := len(grants) - 1; last >= 0 && grants[last].ID == t.id {
			grants[last].Offset = t.granted
			continue
		}
		grants = append(grants, Grant{ID: t.id, Offset: t.granted})
	}
	for _, from := range s.senders {
		if !from.isFull(from.pieceSize(piece)) {
			from.noteSenderLimited()
		}
	}
	return grants, stalled
}

// addPaceTokens adds the bytes that the pace has allowed since the last call.
func (s *Scheduler) addPaceTokens(now, piece int64) {
	most := float64(maxBurstPieces * piece)
	pace := s.shared.pace()
	if pace == 0 {
		s.paceTokens, s.paceTokensAt = math.MaxInt64, now
		return
	}
	s.paceTokens = min(s.paceTokens+pace*float64(now-s.paceTokensAt)/float64(time.Second), most)
	s.paceTokensAt = now
}

// pieceSize returns how many bytes are granted at a time to a sender that is not slower than
// the receiver's link.
func (s *Scheduler) pieceSize() int64 {
	if s.shared.rate() == 0 {
		return firstPiece
	}
	return s.shared.pieceSize(maxPiece)
}

// pieceSize returns how many bytes are granted to a sender at a time, at most limit.
func (p *pipe) pieceSize(limit int64) int64 {
	rate := p.rate()
	if rate == 0 {
		return limit
	}
	return min(max(int64(rate*pieceTime.Seconds()), minPiece), limit)
}

// returnOverdue returns the credit of overdue pieces to the shared pipe and marks their
// senders as stalled. It returns one transfer of each sender that was not stalled before.
func (s *Scheduler) returnOverdue(now int64) (stalled []ID) {
	for _, t := range s.transfers {
		for _, p := range t.pieces {
			if p.returned || now < p.due {
				continue
			}
			p.returned = true
			s.shared.outstanding -= p.missing
			if !t.sender.stalled {
				t.sender.stalled = true
				stalled = append(stalled, t.id)
			}
		}
	}
	return stalled
}

// next returns the transfer that gets the next piece; nil: none may get one. In a round trip
// that probes for a higher rate, senders that are not busy get the additional pieces: a slow
// sender, however urgent its transfers are, cannot show that the receiver's link is faster.
func (s *Scheduler) next(now, piece int64) *transfer {
	if s.shared.probes() {
		if t := s.nextOf(now, func(from *sender) bool { return !from.isBusy(from.pieceSize(piece)) }); t != nil {
			return t
		}
	}
	return s.nextOf(now, func(from *sender) bool { return !from.isFull(from.pieceSize(piece)) })
}

// nextOf returns the most urgent transfer of the senders for which mayGrant returns true; nil:
// none.
func (s *Scheduler) nextOf(now int64, mayGrant func(*sender) bool) *transfer {
	var best *transfer
	for _, t := range s.transfers {
		if t.granted == t.Size || t.sender.stalled || !mayGrant(t.sender) {
			continue
		}
		if best == nil || before(now, &t.Transfer, &best.Transfer) {
			best = t
		}
	}
	return best
}

// before reports whether a is granted before b; false if neither comes first.
func before(now int64, a, b *Transfer) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if aLate, bLate := a.StartBy < now, b.StartBy < now; aLate != bLate {
		return bLate
	}
	return a.StartBy < b.StartBy
}

func (s *Scheduler) grantPiece(now int64, t *transfer, n int64) {
	n = min(n, t.Size-t.granted)
	t.granted += n
	s.paceTokens -= float64(n)
	s.shared.followRoundTrip(t.sender.roundTrip + min(t.sender.timeFor(n), maxUplinkTime))
	p := &piece{missing: n, own: t.sender.grant(now, n), shared: s.shared.grant(now, n)}
	p.due = now + int64(s.stallBound(t.sender))
	t.pieces = append(t.pieces, p)
}

// stallBound returns the time within which all that a sender was granted must arrive.
func (s *Scheduler) stallBound(from *sender) time.Duration {
	if s.shared.rate() == 0 {
		return unknownStallBound
	}
	expected := max(s.shared.delay(s.shared.outstanding), from.delay(from.outstanding))
	return max(time.Duration(stallFactor*expected), minStallBound)
}

// NextDue returns the time at which the next piece may be granted or becomes overdue; ok is
// false if there is none.
func (s *Scheduler) NextDue() (at int64, ok bool) {
	at, ok = s.nextPaceTime()
	for _, t := range s.transfers {
		for _, p := range t.pieces {
			if !p.returned && (!ok || p.due < at) {
				at, ok = p.due, true
			}
		}
	}
	return at, ok
}

// nextPaceTime returns the time at which the pace allows the next piece; ok is false if grants
// do not wait for the pace.
func (s *Scheduler) nextPaceTime() (at int64, ok bool) {
	piece := s.pieceSize()
	needed := float64(piece) - s.paceTokens
	pace := s.shared.pace()
	if pace == 0 || needed <= 0 || s.shared.isFull(piece) || s.next(s.paceTokensAt, piece) == nil {
		return 0, false
	}
	return s.paceTokensAt + int64(math.Ceil(needed/pace*float64(time.Second))), true
}

func (s *Scheduler) find(id ID) *transfer {
	for _, t := range s.transfers {
		if t.id == id {
			return t
		}
	}
	return nil
}
