package link

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// incomingCall is a call of the peer that has not ended.
type incomingCall struct {
	call     *wire.Call
	assembly *wire.Assembly
	// reservation is the reserved memory of the body.
	reservation *bodies.Reservation
	// offer is nil if the body is not sent as it is granted.
	offer *offeredCall
	// started is true once a call without offer is passed to the runner. cancel is nil until
	// the runner has returned it.
	started bool
	cancel  func()
	// cancelled is true once the peer has cancelled the call or the link has ended.
	cancelled bool
}

func (s *session) receiveCall(f *wire.Call) error {
	if f.ID <= s.lastID {
		return &BadFrameError{Cause: errors.Errorf("the call id %d is not higher than that of an earlier call", f.ID)}
	}
	s.lastID = f.ID
	s.acks.received(f)
	if s.dropUnneeded(f) {
		return nil
	}
	assembly, err := wire.NewAssembly(f.Body, s.server.Settings.Limits.MaxBodyBytes)
	if err != nil {
		s.sendRefusal(f.ID, call.Refused(errkind.BodyTooLarge, "%v", err))
		return nil
	}
	in := &incomingCall{call: f, assembly: assembly, reservation: s.server.Bodies.NewReservation()}
	if !in.reservation.Grow(int64(f.Body.Size)) {
		s.sendRefusal(f.ID, call.Refused(errkind.Overloaded, "the executor cannot accept a body of %d bytes: it holds bodies of %d bytes, and limits.bodies_bytes is %d", f.Body.Size, s.server.Bodies.Reserved(), s.server.Bodies.Limit()))
		return nil
	}
	if !s.addCall(in) {
		in.reservation.Release()
		return nil
	}
	if f.Body.Offered() {
		s.receiveOffer(in)
		return nil
	}
	s.startIfComplete(in)
	return nil
}

func (s *session) receiveChunk(f *wire.Chunk) error {
	s.mu.Lock()
	in := s.calls[f.ID]
	s.mu.Unlock()
	if in == nil || in.cancelled {
		return nil
	}
	if err := in.assembly.Add(f); err != nil {
		s.refuseBody(in, err)
		return nil
	}
	if err := s.recordArrival(in, f); err != nil {
		return err
	}
	s.startIfComplete(in)
	return nil
}

// startIfComplete runs a call if its whole body has arrived.
func (s *session) startIfComplete(in *incomingCall) {
	if !in.assembly.Complete() {
		return
	}
	id := in.call.ID
	body, err := in.assembly.Body()
	if err != nil {
		s.refuseBody(in, err)
		return
	}
	if s.server.runner == nil {
		s.remove(id)
		s.sendRefusal(id, noBackendServer())
		return
	}
	cancel, started := s.start(in, body)
	if !started {
		return
	}
	s.mu.Lock()
	in.cancel = cancel
	cancelled := in.cancelled
	s.mu.Unlock()
	if cancelled {
		cancel()
	}
}

func (s *session) receiveCancel(id uint64) {
	s.mu.Lock()
	in := s.calls[id]
	var cancel func()
	if in != nil {
		in.cancelled = true
		cancel = in.cancel
	}
	offered := in != nil && in.offer != nil && cancel == nil
	notStarted := in != nil && cancel == nil && !offered
	if notStarted {
		// The call was not started because its body is incomplete. It cannot start
		// meanwhile, since calls are started by this same goroutine.
		delete(s.calls, id)
		in.reservation.Release()
	}
	s.mu.Unlock()
	if offered {
		s.cancelOffer(in)
	}
	if notStarted {
		s.drop(id, droppedCancelled, call.Refused(errkind.CallerGone, "the entry cancelled the call before its whole body had arrived"))
	}
	if cancel != nil {
		cancel()
	}
}

// remove removes a call that has ended and releases the memory of its body.
func (s *session) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in := s.calls[id]; in != nil {
		in.reservation.Release()
	}
	delete(s.calls, id)
}

// sendAnswer sends the result of a call: an answer with its chunks, or a refusal.
func (s *session) sendAnswer(id uint64, result call.Result) {
	if result.Refusal != nil {
		s.sendRefusal(id, result)
		return
	}
	a := result.Answer
	body, chunks := wire.Split(a.Body)
	frames := make([]wire.Frame, 0, 1+len(chunks))
	frame := &wire.Answer{
		ID: id, Status: a.Status, Headers: a.Headers,
		Queued: a.Queued, Run: a.Run, Stamp: result.Stamp, Body: body, Origin: result.Origin, Slowdown: uint32(a.Slowdown), CallsFailed: a.CallsFailed,
	}
	if !s.Hello.Features.Has(wire.FeatureAnyText) {
		frame.DropInvalidText()
	}
	frames = append(frames, frame)
	for _, chunk := range chunks {
		chunk.ID = id
		frames = append(frames, chunk)
	}
	// If the link is closed, the entry has already ended the call with LinkLost.
	_ = s.Send(frames...)
}

func (s *session) sendRefusal(id uint64, result call.Result) {
	_ = s.Send(&wire.Refusal{
		ID: id, Kind: uint8(result.Refusal.Kind), Ran: uint8(result.Refusal.Ran),
		Detail: strings.ToValidUTF8(result.Refusal.Detail, "\uFFFD"), Stamp: result.Stamp, NextClaim: result.NextClaim, Offered: result.Offered, Origin: result.Origin,
	})
}

// cancelAll cancels the calls of a link that has ended, and releases the memory of bodies
// that have not arrived completely.
func (s *session) cancelAll() {
	s.acks.stop()
	s.mu.Lock()
	var cancels []func()
	for _, in := range s.calls {
		in.cancelled = true
		if in.cancel != nil {
			cancels = append(cancels, in.cancel)
			continue
		}
		if in.offer != nil {
			cancels = append(cancels, func() { s.cancelOffer(in) })
			continue
		}
		// The call was not started, so no other code releases its body.
		in.reservation.Release()
	}
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}
