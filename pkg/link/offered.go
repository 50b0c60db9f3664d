package link

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/grants"
	"github.com/rushramp/rushramp/pkg/wire"
)

// offeredCall is the state of a call whose body is sent as it is granted. The session's mu
// guards its fields.
type offeredCall struct {
	// place is what the runner has admitted; nil for a runner that decides on whole bodies
	// only.
	place    call.Offered
	transfer grants.ID
	// expiry ends the call when its time is used up.
	expiry *time.Timer
	// started is true once the whole body is passed to the runner, ended once the call has
	// ended, which may be before its start.
	started bool
	ended   bool
	// resultUnneeded is true if the peer has cancelled the call before its body was whole. A
	// peer that cancels later still waits for a result, even if the call has not started.
	resultUnneeded bool
}

// expectsOffers reports whether the peer may offer bodies, so that the round-trip time of the
// link will be needed.
func (s *session) expectsOffers() bool {
	return s.server.runner != nil && s.server.Settings.Links.GrantBodiesAbove > 0 && s.Hello.Features.Has(wire.FeatureGrants)
}

// receiveOffer has the runner decide on a call whose body is offered, and begins the transfer
// unless the call was refused.
func (s *session) receiveOffer(in *incomingCall) {
	id := in.call.ID
	if s.server.runner == nil {
		s.remove(id)
		s.sendRefusal(id, noBackendServer())
		return
	}
	s.server.grants.updateRoundTrip(s.sender, s.Peer)
	now := s.server.Now()
	t := grants.Transfer{
		Sender: s.sender, Size: int64(in.call.Body.Size),
		Rank: in.call.Routed.Rank(), StartBy: now + int64(in.call.Remaining),
	}
	offer := &offeredCall{}
	s.mu.Lock()
	in.offer = offer
	s.mu.Unlock()
	offerer, decides := s.server.runner.(call.Offerer)
	if !decides {
		s.beginTransfer(in, nil, t)
		return
	}
	place := offerer.Offer(in.call, s.server.grants.expectedTime(t), s.doneFor(in))
	if place == nil {
		s.server.grants.refusedHeads.Inc()
		return
	}
	t.Rank, t.StartBy = place.Rank(), place.StartBy()
	s.beginTransfer(in, place, t)
}

// beginTransfer adds the body of a call to the scheduler, unless the call has ended.
func (s *session) beginTransfer(in *incomingCall, place call.Offered, t grants.Transfer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[in.call.ID] != in || in.offer.ended {
		return
	}
	in.offer.place = place
	in.offer.expiry = time.AfterFunc(in.call.Remaining, func() {
		s.withdraw(in, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the whole body had arrived"))
	})
	in.offer.transfer = s.server.grants.add(s.Peer, in.call, t)
}

// start passes a call with its whole body to the runner. It returns false if the call has
// ended before.
func (s *session) start(in *incomingCall, body []byte) (cancel func(), started bool) {
	if in.offer == nil {
		if !s.markStarted(in) {
			return nil, false
		}
		return s.server.runner.Execute(in.call, body, s.doneFor(in)), true
	}
	s.mu.Lock()
	started = s.calls[in.call.ID] == in && !in.offer.ended
	in.offer.started = in.offer.started || started
	place := in.offer.place
	if started {
		in.offer.expiry.Stop()
	}
	s.mu.Unlock()
	switch {
	case !started:
		return nil, false
	case place == nil:
		return s.server.runner.Execute(in.call, body, s.doneFor(in)), true
	}
	return place.Start(body), true
}

// doneFor returns the function that reports the result of a call.
func (s *session) doneFor(in *incomingCall) func(call.Result) {
	return func(result call.Result) {
		resultUnneeded := s.endOffer(in, result.Refusal)
		id := in.call.ID
		s.remove(id)
		if resultUnneeded {
			return
		}
		result.Stamp = s.stampFor(in.call, result.Stamp)
		s.sendAnswer(id, result)
	}
}

// withdraw ends a call whose body is not whole, with a refusal.
func (s *session) withdraw(in *incomingCall, refusal *errkind.Error) {
	s.mu.Lock()
	if in.offer.started || in.offer.ended || s.calls[in.call.ID] != in {
		s.mu.Unlock()
		return
	}
	in.offer.ended = true
	place := in.offer.place
	s.mu.Unlock()
	if place == nil {
		s.doneFor(in)(call.Result{Refusal: refusal, FromExecutor: true})
		return
	}
	place.Withdraw(refusal)
}

// endOffer marks an offered call as ended. If its body has not arrived as a whole, endOffer
// removes the transfer and logs that. It returns true if the peer expects no result.
func (s *session) endOffer(in *incomingCall, refusal *errkind.Error) (resultUnneeded bool) {
	offer := in.offer
	if offer == nil {
		return false
	}
	s.mu.Lock()
	began, started, resultUnneeded := offer.transfer != 0, offer.started, offer.resultUnneeded
	offer.ended = true
	if offer.expiry != nil {
		offer.expiry.Stop()
	}
	s.mu.Unlock()
	if !began || started {
		return resultUnneeded
	}
	granted, arrived := s.server.grants.remove(offer.transfer)
	s.server.Log.Event(events.BodyNotReceived, events.F("request", in.call.Routed.ID), events.F("route", in.call.Kind), events.F("peer", s.Hello.VM),
		events.F("size", in.call.Body.Size), events.F("granted", granted), events.F("arrived", arrived),
		events.F("outcome", refusal.Kind), events.F("detail", refusal.Detail))
	return resultUnneeded
}

// refuseBody ends a call whose body is damaged.
func (s *session) refuseBody(in *incomingCall, cause error) {
	if in.offer != nil {
		s.withdraw(in, errkind.New(errkind.BodyCut, "%v", cause))
		return
	}
	s.remove(in.call.ID)
	s.sendRefusal(in.call.ID, call.Refused(errkind.BodyCut, "%v", cause))
}

// recordArrival tells the scheduler that a chunk of an offered body has arrived.
func (s *session) recordArrival(in *incomingCall, chunk *wire.Chunk) error {
	if in.offer == nil {
		return nil
	}
	if err := s.server.grants.arrived(in.offer.transfer, len(chunk.Data)); err != nil {
		return &BadFrameError{Cause: err}
	}
	return nil
}

// cancelOffer ends a call that its peer has cancelled, or whose link has ended, before its
// body was whole.
func (s *session) cancelOffer(in *incomingCall) {
	s.mu.Lock()
	in.offer.resultUnneeded = !in.assembly.Complete()
	s.mu.Unlock()
	s.withdraw(in, errkind.New(errkind.CallerGone, "the entry cancelled the request, or its link ended, before the whole body had arrived"))
}

func noBackendServer() call.Result {
	return call.Refused(errkind.NoBackendServer, "this daemon has no backend server")
}
