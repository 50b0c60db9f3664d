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

// voidEvery is how often an executor tries again to void a claim that it may
// hold and did not use.
const voidEvery = 500 * time.Millisecond

// Claims is both sides of the protocol at one daemon: claiming as an executor,
// sealing as an entry. It is safe for concurrent use.
type Claims struct {
	*common.Common
	table    store.Table
	writer   *writer
	executor string
	ttl      time.Duration
	most     int
	// background ends when the daemon does.
	background context.Context
}

var _ executor.Claims = (*Claims)(nil)

// NewClaims makes the claims of one daemon. Work that nobody waits for stops
// when background ends.
func NewClaims(background context.Context, c *common.Common, table store.Table) *Claims {
	s := c.Settings
	return &Claims{
		Common:     c,
		table:      table,
		writer:     newWriter(c, table, s.Once.Timeout),
		executor:   s.VM.ID,
		ttl:        s.Once.KeepFor,
		most:       s.Once.StoredAnswerBytes,
		background: background,
	}
}

// Claim implements executor.Claims.
func (cl *Claims) Claim(c *wire.Call, body []byte, deadline time.Time) (executor.Permit, call.Result) {
	row := Row{
		Generation: c.Claim.Generation, State: Claimed, Executor: cl.executor,
		Nonce: uuid.NewString(), RequestDigest: digest(c, body), At: time.Now(), Service: c.Service,
	}
	value, err := encode(row)
	if err != nil {
		return nil, call.Refused(errkind.Internal, "%v", err)
	}
	write := store.Write{Key: RowKey(c.Service, c.Key), IfVersion: c.Claim.Version, Value: value}
	permit := &permit{claims: cl, row: row, key: write.Key, version: write.IfVersion + 1}
	out := cl.writer.do(write, deadline)
	switch {
	case out.err == nil && out.result.Applied:
		return permit, call.Result{}
	case out.err == nil:
		return nil, cl.lost(out.result.Row, row)
	case !out.sent:
		return nil, call.Refused(errkind.StoreUnavailable, "the claim could not be written: %v", out.err)
	}
	return cl.readBack(permit, deadline, out.err)
}

// readBack settles a claim whose answer was lost: the own nonce means won.
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
			return nil, cl.lost(stored, p.row)
		}
	}
	// The write may still take effect. It must not stay a claim for ever, so
	// this executor, which knows that it ran nothing, voids it when it can.
	cl.Log.Event(events.ClaimUnknown, events.F("cause", cause))
	go p.voidLater()
	return nil, call.Refused(errkind.StoreUnavailable, "whether the claim was written is not known, so the call was not run")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lost says what a row that another writer wrote means for this call.
func (cl *Claims) lost(stored store.Row, own Row) call.Result {
	found, err := Decode(stored)
	if err != nil {
		return call.Refused(errkind.StoreUnavailable, "the key's row cannot be read: %v", err)
	}
	if stored.Version == 0 {
		return moved(0, 1)
	}
	return cl.meaning(stored.Version, found, own.RequestDigest)
}

// meaning says what a key's row means for a call with a request digest.
func (cl *Claims) meaning(version uint64, found Row, request string) call.Result {
	expired := found.State != Claimed && time.Since(found.At) > cl.ttl
	switch {
	case found.State == Sealed || expired:
		return moved(version, found.Generation+1)
	case found.RequestDigest != request:
		return call.Refused(errkind.KeyReused, "the key was used with another method, path or body")
	case found.State == Finished && found.Answer != nil:
		return call.Result{Answer: found.Answer.answer()}
	case found.State == Finished:
		return call.Refused(errkind.KeyInProgress, "the call ran and ended; its answer was too large to keep")
	}
	cl.Log.Event(events.ClaimLost, events.F("holder", found.Executor))
	return call.Refused(errkind.KeyInProgress, "the call was started by %s", found.Executor)
}

func moved(version uint64, generation uint32) call.Result {
	out := call.Refused(errkind.KeyMoved, "generation %d of the key is open", generation)
	out.NextClaim = wire.Claim{Version: version, Generation: generation}
	return out
}

// Seal closes the generation of a call whose outcome this entry did not learn.
// When it wins, the call was not run and cannot be, and the result is a KeyMoved
// with the next claim. When it loses, the result says what is known. reason is
// the refusal to give when the store does not say.
func (cl *Claims) Seal(c *wire.Call, body []byte, reason *errkind.Error) call.Result {
	request := digest(c, body)
	value, err := encode(Row{Generation: c.Claim.Generation, State: Sealed, RequestDigest: request, At: time.Now(), Service: c.Service})
	if err != nil {
		return call.Result{Refusal: reason}
	}
	write := store.Write{Key: RowKey(c.Service, c.Key), IfVersion: c.Claim.Version, Value: value}
	out := cl.writer.do(write, time.Now().Add(cl.writer.timeout))
	if out.err != nil {
		// A seal that took effect unseen does no harm: "maybe" stays true.
		return call.Result{Refusal: reason}
	}
	if out.result.Applied {
		return moved(out.result.Row.Version, c.Claim.Generation+1)
	}
	found, err := Decode(out.result.Row)
	if err != nil || out.result.Row.Version == 0 {
		return call.Result{Refusal: reason}
	}
	return cl.meaning(out.result.Row.Version, found, request)
}
