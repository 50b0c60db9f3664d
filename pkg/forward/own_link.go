package forward

import (
	"time"

	"github.com/rushramp/rushramp/pkg/acks"
)

// minOwnLinks is how many links must be active for a delay that most of them see to be
// attributed to this VM's own link.
const minOwnLinks = 3

// ownLinkDelay returns by how much the link of this VM delays calls to all others.
func (f *Forwarder) ownLinkDelay() time.Duration { return f.ownLink.Current(f.Now(), minOwnLinks) }

// recordOwnLink records how long an ack took on a link. minRTT is the shortest round-trip
// time of the link; 0: not known.
func (f *Forwarder) recordOwnLink(now int64, link *acks.Link, minRTT, took time.Duration) {
	if minRTT > 0 {
		f.ownLink.Record(now, link, max(took-minRTT-acks.MaxDelay, 0))
	}
}

// grantedBodySize returns the size of a body that is sent as the executor grants it; 0: the
// body is sent with the call.
func (a *attempts) grantedBodySize() int64 {
	above := a.forwarder.Settings.Links.GrantBodiesAbove
	if size := len(a.req.Body); above > 0 && size > above {
		return int64(size)
	}
	return 0
}
