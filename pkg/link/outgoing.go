package link

import (
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// outgoingBody is the body of a call on the entry's side, if it does not fit in the call
// frame. The executor starts a call only when its body is whole, so a call whose last byte
// was not handed to the writer of the link has certainly not run.
type outgoingBody struct {
	// data is the body if it is sent as far as it is granted; nil: its chunks were queued
	// with the call.
	data []byte
	// queued is how many bytes of data were queued, chunks in how many chunks.
	queued int
	chunks uint32
}

// grantsBody reports whether the peer decides when a body of this size is sent.
func (cl *Client) grantsBody(size int) bool {
	return cl.grantBodiesAbove > 0 && size > cl.grantBodiesAbove && cl.Hello.Features.Has(wire.FeatureGrants)
}

// prepare returns the first part of a body, for the call frame, the chunks to queue behind
// it, and what is kept until the whole body is sent; nil: it fits in the frame.
func (cl *Client) prepare(data []byte) (wire.Body, []*wire.Chunk, *outgoingBody) {
	if cl.grantsBody(len(data)) {
		return wire.Offer(data), nil, &outgoingBody{data: data}
	}
	body, chunks := wire.Split(data)
	if len(chunks) == 0 {
		return body, nil, nil
	}
	return body, chunks, &outgoingBody{}
}

// nextChunks returns the chunks of a body up to a granted offset that were not queued yet.
func (b *outgoingBody) nextChunks(id, offset uint64) []wire.Frame {
	end := int(min(offset, uint64(len(b.data))))
	var chunks []wire.Frame
	for b.queued < end {
		next := min(b.queued+wire.GrantedChunkSize, end)
		chunks = append(chunks, &wire.Chunk{ID: id, Seq: b.chunks, Data: b.data[b.queued:next]})
		b.queued = next
		b.chunks++
	}
	return chunks
}

// receiveGrant queues the chunks that a peer has granted. They are queued under the lock of
// the calls, so that none is queued after its call has ended.
func (cl *Client) receiveGrant(f *wire.Grant) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	pending := cl.pending[f.ID]
	if pending == nil || pending.body == nil {
		return
	}
	if chunks := pending.body.nextChunks(f.ID, f.Offset); len(chunks) > 0 {
		// If the link is closed, failAll ends the call.
		_ = cl.Send(chunks...)
	}
}

// stopBody stops sending the body of a call that has ended or is being ended. It returns
// true if the whole body was handed to the writer before.
func (cl *Client) stopBody(id uint64, body *outgoingBody) (handedOver bool) {
	if body == nil {
		return true
	}
	dropped := cl.dropChunks(id)
	return !dropped && body.queued == len(body.data)
}

// cancel tells the executor that the result of a call is no longer needed. A call whose body
// was not handed over ends at once, since the executor does not report on it.
func (cl *Client) cancel(id uint64) {
	cl.mu.Lock()
	pending := cl.pending[id]
	notRun := pending != nil && !cl.stopBody(id, pending.body)
	if notRun {
		delete(cl.pending, id)
	}
	cl.mu.Unlock()
	// If the link is closed, the executor has cancelled its calls.
	_ = cl.Send(&wire.Cancel{ID: id})
	if notRun {
		pending.done(call.Refused(errkind.CallerGone, "the call was cancelled before its whole body was sent"))
	}
}

// resultOfLostLink returns the result of a call whose link has ended before its answer
// arrived.
func (cl *Client) resultOfLostLink(id uint64, pending *pendingCall) call.Result {
	if !cl.stopBody(id, pending.body) {
		return *linkUnavailable("the link to the executor ended before the whole body was sent")
	}
	return call.Refused(errkind.LinkLost, "the link to the executor ended")
}
