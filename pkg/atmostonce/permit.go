package atmostonce

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/store"
)

// permit is a claim of this executor. After a write without an answer, it is not known
// whether the claim is in the table.
type permit struct {
	claims *Claims
	row    Row
	key    string
	// version is the version of the row that holds the claim.
	version uint64
}

// Finish implements executor.Permit. It returns at once: the answer to the caller does not
// wait for the write. Without the write, the row stays claimed, and later calls with the key
// are refused with KeyInProgress.
func (p *permit) Finish(answer *call.Answer, ran errkind.Ran) {
	if ran == errkind.RanNo {
		go p.voidUntilSettled()
		return
	}
	if answer == nil {
		return
	}
	row := p.row
	row.State = Finished
	row.At = time.Now()
	if len(answer.Body) <= p.claims.maxStoredAnswerBytes {
		row.Answer = &StoredAnswer{Status: answer.Status, Headers: answer.Headers, Body: answer.Body}
	}
	value, err := encode(row)
	if err != nil {
		return
	}
	p.claims.writer.writeAsync(store.Write{Key: p.key, IfVersion: p.version, Value: value}, func(writeResult) {})
}

// voidUntilSettled replaces an unused claim by a seal, and tries again until the claim is
// settled. Only the executor of the claim may do so, because only it knows that the call
// was not sent. If the daemon ends before that, the row stays claimed.
func (p *permit) voidUntilSettled() {
	row := Row{Generation: p.row.Generation, State: Sealed, RequestDigest: p.row.RequestDigest, At: time.Now(), Service: p.row.Service}
	value, err := encode(row)
	if err != nil {
		return
	}
	for !p.tryVoid(value) {
		select {
		case <-p.claims.background.Done():
			return
		case <-time.After(voidRetryInterval):
		}
	}
}

// tryVoid tries to void the claim, and returns whether the claim is settled: it is voided,
// or the row no longer holds it. The row is read before it is replaced, because a row with
// the version of this claim may hold the claim of another executor.
func (p *permit) tryVoid(value []byte) bool {
	version, settled, err := p.versionToReplace()
	if settled || err != nil {
		return settled
	}
	write := store.Write{Key: p.key, IfVersion: version, Value: value}
	out := p.claims.writer.writeAndWait(write, time.Now().Add(p.claims.writer.timeout))
	if out.err != nil || !out.result.Applied {
		return false
	}
	p.claims.Log.Event(events.ClaimVoided)
	return true
}

// versionToReplace returns the version of the row that a seal must replace. That is the
// version of the claim, or a lower one if the claim has not taken effect; a seal then
// prevents it, because the claim's condition on the version no longer holds. settled is
// true if there is nothing to seal.
func (p *permit) versionToReplace() (version uint64, settled bool, err error) {
	ctx, cancel := context.WithTimeout(p.claims.background, p.claims.writer.timeout)
	defer cancel()
	stored, err := p.claims.table.Get(ctx, p.key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, false, err
	}
	if stored.Version < p.version {
		return stored.Version, false, nil
	}
	found, err := Decode(stored)
	if err != nil {
		return 0, false, err
	}
	isOwnClaim := found.Nonce == p.row.Nonce && found.State == Claimed
	return stored.Version, !isOwnClaim, nil
}
