package atmostonce

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/executor"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/wire"
)

// voidRetryInterval is the time between two attempts to void a claim.
const voidRetryInterval = 500 * time.Millisecond

// Claims writes the rows of Idempotency-Keys for one daemon. As an executor, the daemon
// claims a key before it runs the call; as an entry, it seals a key whose outcome it does
// not know. Claims is safe for concurrent use.
type Claims struct {
	*common.Common
	table  store.Table
	writer *writer
	// executor is the id of this daemon's VM.
	executor string
	// ttl is the time after which a row in the state Finished or Sealed expires.
	ttl time.Duration
	// maxStoredAnswerBytes is the size of the largest answer body that is stored.
	maxStoredAnswerBytes int
	// background is cancelled when the daemon ends.
	background context.Context
}

var _ executor.Claims = (*Claims)(nil)

// NewClaims returns the Claims of one daemon. Claims are voided in the background until
// the context background is cancelled.
func NewClaims(background context.Context, c *common.Common, table store.Table) *Claims {
	s := c.Settings
	return &Claims{
		Common:               c,
		table:                table,
		writer:               newWriter(c, table, s.Once.Timeout),
		executor:             s.VM.ID,
		ttl:                  s.Once.KeepFor,
		maxStoredAnswerBytes: s.Once.StoredAnswerBytes,
		background:           background,
	}
}

// Claim implements executor.Claims. The key is claimed by a write on the condition that its
// row still has the version in c.Claim.
func (cl *Claims) Claim(c *wire.Call, body []byte, deadline time.Time) (executor.Permit, call.Result) {
	row := Row{
		Generation: c.Claim.Generation, State: Claimed, Executor: cl.executor,
		Nonce: uuid.NewString(), RequestDigest: digestOf(c, body), At: time.Now(), Service: c.Service,
	}
	value, err := encode(row)
	if err != nil {
		return nil, call.Refused(errkind.Internal, "%v", err)
	}
	write := store.Write{Key: RowKey(c.Service, c.Key), IfVersion: c.Claim.Version, Value: value}
	permit := &permit{claims: cl, row: row, key: write.Key, version: write.IfVersion + 1}
	out := cl.writer.writeAndWait(write, deadline)
	switch {
	case out.err == nil && out.result.Applied:
		return permit, call.Result{}
	case out.err == nil:
		return nil, cl.conflictResult(out.result.Row, row)
	case !out.sent:
		return nil, call.Refused(errkind.StoreUnavailable, "the claim could not be written: %v", out.err)
	}
	return cl.readBack(permit, deadline, out.err)
}

// readBack reads the row after a claim write without an answer. The claim succeeded if the
// row holds its nonce.
func (cl *Claims) readBack(p *permit, deadline time.Time, cause error) (executor.Permit, call.Result) {
	ctx, cancel := context.WithDeadline(cl.background, earlier(deadline, time.Now().Add(cl.writer.timeout)))
	defer cancel()
	stored, err := cl.table.Get(ctx, p.key)
	if err == nil {
		found, decodeErr := Decode(stored)
		if decodeErr == nil && found.Nonce == p.row.Nonce {
			p.version = stored.Version
			return p, call.Result{}
		}
		if decodeErr == nil && stored.Version > p.version-1 {
			return nil, cl.conflictResult(stored, p.row)
		}
	}
	// The write may still take effect. A claim that no run follows would block the key
	// for ever, so this executor voids it: it knows that it did not run the call.
	cl.Log.Event(events.ClaimUnknown, events.F("cause", cause))
	go p.voidUntilSettled()
	return nil, call.Refused(errkind.StoreUnavailable, "it is not known whether the claim was written, so the call was not run")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// conflictResult returns the result of a call whose claim failed because another writer
// has changed the row to stored.
func (cl *Claims) conflictResult(stored store.Row, own Row) call.Result {
	found, err := Decode(stored)
	if err != nil {
		return call.Refused(errkind.StoreUnavailable, "the row of the key cannot be decoded: %v", err)
	}
	if stored.Version == 0 {
		return keyMoved(0, 1)
	}
	return cl.rowResult(stored.Version, found, own.RequestDigest)
}

// rowResult returns the result of a call with this request digest if found, the row of its
// key with this version, prevents the claim or the seal.
func (cl *Claims) rowResult(version uint64, found Row, digest string) call.Result {
	expired := found.State != Claimed && time.Since(found.At) > cl.ttl
	switch {
	case found.State == Sealed || expired:
		return keyMoved(version, found.Generation+1)
	case found.RequestDigest != digest:
		return call.Refused(errkind.KeyReused, "the key was used with another method, path or body")
	case found.State == Finished && found.Answer != nil:
		return call.Result{Answer: found.Answer.toAnswer()}
	case found.State == Finished:
		return call.Refused(errkind.KeyInProgress, "the call ran, but its answer was too large to store")
	}
	cl.Log.Event(events.ClaimLost, events.F("holder", found.Executor))
	return call.Refused(errkind.KeyInProgress, "executor %s has started the call", found.Executor)
}

// keyMoved returns a refusal that lets the entry try again with a new generation of the key.
// version is that of the row which the next claim replaces.
func keyMoved(version uint64, generation uint32) call.Result {
	out := call.Refused(errkind.KeyMoved, "generation %d of the key is open", generation)
	out.NextClaim = wire.Claim{Version: version, Generation: generation}
	return out
}

// Seal closes the key's generation for a call whose outcome this entry does not know. If it
// succeeds, the call did not run and never will in this generation, and the result is
// KeyMoved with the next claim. If another writer has changed the row, the result follows
// from that row. fallback is the refusal to return if the store gives no usable answer.
func (cl *Claims) Seal(c *wire.Call, body []byte, fallback *errkind.Error) call.Result {
	digest := digestOf(c, body)
	value, err := encode(Row{Generation: c.Claim.Generation, State: Sealed, RequestDigest: digest, At: time.Now(), Service: c.Service})
	if err != nil {
		return call.Result{Refusal: fallback}
	}
	write := store.Write{Key: RowKey(c.Service, c.Key), IfVersion: c.Claim.Version, Value: value}
	out := cl.writer.writeAndWait(write, time.Now().Add(cl.writer.timeout))
	if out.err != nil {
		// The seal may have taken effect. The refusal then still holds: it says that the
		// call may have run.
		return call.Result{Refusal: fallback}
	}
	if out.result.Applied {
		return keyMoved(out.result.Row.Version, c.Claim.Generation+1)
	}
	found, err := Decode(out.result.Row)
	if err != nil || out.result.Row.Version == 0 {
		return call.Result{Refusal: fallback}
	}
	return cl.rowResult(out.result.Row.Version, found, digest)
}
