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

// permit is a claim that this executor holds, or may hold.
type permit struct {
	claims *Claims
	row    Row
	key    string
	// version is that of the row with the claim.
	version uint64
}

// Finish implements executor.Permit. The caller's answer does not wait for it:
// a claim without a finish stays "maybe", which is true.
func (p *permit) Finish(answer *call.Answer, ran errkind.Ran) {
	if ran == errkind.RanNo {
		go p.voidLater()
		return
	}
	if answer == nil {
		return
	}
	row := p.row
	row.State = Finished
	row.At = time.Now()
	if len(answer.Body) <= p.claims.most {
		row.Answer = &StoredAnswer{Status: answer.Status, Headers: answer.Headers, Body: answer.Body}
	}
	value, err := encode(row)
	if err != nil {
		return
	}
	p.claims.writer.post(store.Write{Key: p.key, IfVersion: p.version, Value: value}, func(writeResult) {})
}

// voidLater seals a claim that was not used, and tries until the store says
// that it is settled. Only this executor may do so: it knows that it handed
// nothing over. When the daemon ends first, the claim stays a "maybe".
func (p *permit) voidLater() {
	row := Row{Generation: p.row.Generation, State: Sealed, RequestDigest: p.row.RequestDigest, At: time.Now(), Service: p.row.Service}
	value, err := encode(row)
	if err != nil {
		return
	}
	for !p.voidOnce(value) {
		select {
		case <-p.claims.background.Done():
			return
		case <-time.After(voidEvery):
		}
	}
}

// voidOnce is true when the claim is settled. It looks before it writes: a row
// of the version that this claim would have may be another executor's claim,
// which must stay.
func (p *permit) voidOnce(value []byte) bool {
	version, settled, err := p.look()
	if settled || err != nil {
		return settled
	}
	write := store.Write{Key: p.key, IfVersion: version, Value: value}
	out := p.claims.writer.do(write, time.Now().Add(p.claims.writer.timeout))
	if out.err != nil || !out.result.Applied {
		return false
	}
	p.claims.Log.Event(events.ClaimVoided)
	return true
}

// look returns the version of the row that a seal must replace: that of the own
// claim, or the one before it when the claim has not arrived. In the latter
// case the seal keeps it out: the claim's own condition cannot hold any more.
func (p *permit) look() (version uint64, settled bool, err error) {
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
	mine := found.Nonce == p.row.Nonce && found.State == Claimed
	return stored.Version, !mine, nil
}
