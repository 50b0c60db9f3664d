package link

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/grants"
	"github.com/rushramp/rushramp/pkg/linkdelay"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// Stamps omit a rate of fastBody per fastTime or more: at that rate the time of a body
	// makes no difference to the choice.
	fastBody = 64 << 10
	fastTime = 5 * time.Millisecond
	// minAcceptedLinks is how many links must be active for a delay to be reported. One
	// is enough, since the stamps then go only to the entry at its other end.
	minAcceptedLinks = 1
)

// registerLinkMetrics registers the gauges of the delays that stamps state for this VM's link.
func (s *Server) registerLinkMetrics() {
	s.Metrics.GetOrCreateGauge("rushramp_link_delay_seconds", func() float64 { return s.delays.Current(s.Now(), minAcceptedLinks).Seconds() })
	s.Metrics.GetOrCreateGauge("rushramp_bodies_wait_seconds", func() float64 { return s.grants.forecast().Wait.Seconds() })
}

// addLink adds to a stamp what is known of the link of this VM. The gate makes stamps
// without it, since calls from this VM do not use the link.
func (s *Server) addLink(stamp *wire.Stamp) {
	if stamp.Seq == 0 {
		return
	}
	stamp.LinkDelayMS = milliseconds(s.delays.Current(s.Now(), minAcceptedLinks))
	setBodyLoad(stamp, s.grants.forecast())
}

// setBodyLoad sets the fields of a stamp about granted bodies.
func setBodyLoad(stamp *wire.Stamp, f grants.Forecast) {
	if f.Wait >= linkdelay.Least {
		stamp.BodyWaitMS = milliseconds(f.Wait)
	}
	if stamp.BodyWaitMS > 0 || f.Rate*fastTime.Seconds() < fastBody {
		stamp.LinkRateKB = kilobytes(f.Rate)
	}
}

func milliseconds(d time.Duration) uint32 { return uint32(min(d.Milliseconds(), 1<<31)) }

// kilobytes returns a rate in units of 1,000 bytes per second. A known rate is not 0.
func kilobytes(bytesPerSecond float64) uint32 {
	if bytesPerSecond <= 0 {
		return 0
	}
	return uint32(min(max(bytesPerSecond/1000, 1), 1<<31))
}

// stamper is a call.Runner that can report its load at any time.
type stamper interface {
	Stamp() wire.Stamp
}

// stampFor returns the stamp to send with the result of a call, within the measurement
// budget.
func (s *session) stampFor(c *wire.Call, stamp wire.Stamp) wire.Stamp {
	if !c.WantStamp {
		return wire.Stamp{}
	}
	s.server.addLink(&stamp)
	return s.stamps.filter(s.server.Common, c.WantStamp, stamp)
}

// withStamp adds the runner's stamp to the result of a call that did not get to it.
func (s *session) withStamp(c *wire.Call, result call.Result) call.Result {
	if runner, ok := s.server.runner.(stamper); ok && c.WantStamp {
		result.Stamp = s.stampFor(c, runner.Stamp())
	}
	return result
}
