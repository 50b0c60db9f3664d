package call

import (
	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Acknowledger is implemented by a Runner whose executor may acknowledge calls, as links to
// other daemons do.
type Acknowledger interface {
	// Acknowledges reports whether the executor acknowledges calls.
	Acknowledges() bool
	// AckTimes returns the times of acknowledgements on the link, and AckEstimate their
	// current estimate.
	AckTimes() *acks.Link
	AckEstimate() acks.Estimate
	// ExecuteAcknowledged is Execute for a call that asks to be acknowledged. It invokes
	// acknowledged at most once, when the executor is known to have received the call. If
	// the executor itself ends the call, it invokes acknowledged before done.
	ExecuteAcknowledged(c *wire.Call, body []byte, acknowledged func(), done func(Result)) (cancel func())
}
