package once

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/platform"
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
func (self *permit) Finish(answer *call.Answer, ran errkind.Ran) {
	if ran == errkind.RanNo {
		go self.voidLater()
		return
	}
	if answer == nil {
		return
	}
	row := self.row
	row.State = Finished
	row.At = time.Now()
	if len(answer.Body) <= self.claims.most {
		row.Answer = &StoredAnswer{Status: answer.Status, Headers: answer.Headers, Body: answer.Body}
	}
	value, err := encode(row)
	if err != nil {
		return
	}
	self.claims.writer.post(platform.Write{Key: self.key, IfVersion: self.version, Value: value}, func(writeResult) {})
}

// voidLater seals a claim that was not used, and tries until the store says
// that it is settled. Only this executor may do so: it knows that it handed
// nothing over. When the daemon ends first, the claim stays a "maybe".
func (self *permit) voidLater() {
	row := Row{Generation: self.row.Generation, State: Sealed, Request: self.row.Request, At: time.Now(), Service: self.row.Service}
	value, err := encode(row)
	if err != nil {
		return
	}
	write := platform.Write{Key: self.key, IfVersion: self.version, Value: value}
	for !self.voidOnce(&write) {
		select {
		case <-self.claims.background.Done():
			return
		case <-time.After(voidEvery):
		}
	}
}

// voidOnce is true when the claim is settled.
func (self *permit) voidOnce(write *platform.Write) bool {
	out := self.claims.writer.do(*write, time.Now().Add(self.claims.writer.timeout))
	switch {
	case out.err != nil:
		return false
	case out.result.Won:
		self.claims.Log.Event(events.ClaimVoided)
		return true
	case out.result.Row.Version == self.version-1:
		// The claim has not arrived. Sealing in its place keeps it out: the
		// claim's own condition cannot hold any more.
		write.IfVersion = self.version - 1
		return false
	}
	found, err := Decode(out.result.Row)
	if err == nil && found.Nonce == self.row.Nonce && found.State == Claimed {
		write.IfVersion = out.result.Row.Version
		return false
	}
	return true
}
