package choose

import (
	"time"

	"github.com/rushramp/rushramp/pkg/grants"
	"github.com/rushramp/rushramp/pkg/linkdelay"
	"github.com/rushramp/rushramp/pkg/tables"
)

// linkTimes is what links add to the time of a request at a candidate, in nanoseconds. All
// fields are 0 while no link is slow.
type linkTimes struct {
	// delay is the delay on the link of the candidate's VM.
	delay float64
	// transfer is the time until the body has arrived.
	transfer float64
	// ownDelay is the delay on the link of the entry's own VM. It is the same for all
	// candidates on other VMs, so that none is passed over because of it.
	ownDelay float64
}

// isSlow reports whether the link of the candidate's VM adds to the time of the request.
func (t *linkTimes) isSlow() bool { return t.delay > 0 || t.transfer > 0 }

// linkTimesTo returns what links add to the time of the request at an endpoint, by its load.
func (r *RoutedRequest) linkTimesTo(endpoint *tables.Endpoint, load *tables.LoadSnapshot) linkTimes {
	var out linkTimes
	if load.StampReceivedAt != 0 && (load.LinkDelay > 0 || load.LinkRate > 0) {
		age := time.Duration(max(r.Now-load.StampReceivedAt, 0))
		// A stamp may contain what is due to the entry's own link, if this entry sends most
		// of the calls to the VM.
		out.delay = float64(max(linkdelay.Decay(load.LinkDelay, age)-r.OwnLinkDelay, 0))
		out.transfer = r.transferTime(load, age)
	}
	if r.OwnLinkDelay > 0 && endpoint.VM != r.OwnVM {
		out.ownDelay = float64(r.OwnLinkDelay)
	}
	return out
}

// transferTime returns the expected time until the body has arrived, in nanoseconds, by a
// load of the given age: the bodies before it, those that this entry has offered since, and
// its own bytes. It is 0 if the rate is not known.
func (r *RoutedRequest) transferTime(load *tables.LoadSnapshot, age time.Duration) float64 {
	if r.BodySize == 0 || load.LinkRate == 0 || age > time.Duration(grants.RateValidity) {
		return 0
	}
	perByte := float64(time.Second) / float64(load.LinkRate)
	ahead := float64(load.BodyWait-age) + perByte*float64(load.BodyBytesSinceStamp)
	return max(ahead, 0) + perByte*float64(r.BodySize)
}
