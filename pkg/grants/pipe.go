package grants

import "time"

const (
	// senderGain and sharedGain are the windows of a sender and of the receiver as multiples of
	// their bandwidth-delay product; a window is at least extraPieces above the product. That
	// of the receiver is larger: senders that are slower than the receiver's link, each with a
	// full window, must leave room for further senders, or the rate of the link would never be
	// learnt.
	senderGain  = 1.5
	sharedGain  = 1.75
	extraPieces = 2
	// In one of paceInterval round trips, bytes are granted at paceGain times the learnt rate
	// to find out whether the path has become faster, and in the next one with as much less.
	paceInterval = 8
	paceGain     = 1.25
	// growth is the increase of the rate that begins or prolongs a startup, in which no pace
	// limits the grants. flatRounds is the number of rounds without it that end the startup
	// (BBR, Cardwell et al., 2016).
	growth     = 1.25
	flatRounds = 3
	// rateWindow is the time, in nanoseconds, after which a measured rate begins to be
	// forgotten.
	rateWindow = int64(time.Second)
	// roundTripWeight is the weight of one piece's sender in the mean round-trip time.
	roundTripWeight = 1.0 / 8
)

// pipe learns how many bytes a path holds: the path from one sender, or the receiver's own
// link, which all transfers share. The rate is the highest delivery rate of the last one to
// two rateWindows, measured over at least one round trip, as in BBR.
type pipe struct {
	// gain is the window as a multiple of the bandwidth-delay product.
	gain float64
	// roundTrip is the round-trip time without queues, in nanoseconds: of the sender, or the
	// mean of those that were granted pieces lately; 0: unknown.
	roundTrip float64
	// outstanding is the number of bytes that are granted and have not arrived, delivered
	// that of all bytes that have arrived.
	outstanding int64
	delivered   int64
	// deliveredAt is when the last byte arrived, or when the pipe was last empty before a
	// grant. grantedAt is when the piece was granted that arrived last.
	deliveredAt int64
	grantedAt   int64
	// limitedUntil is the value of delivered up to which the senders had less to send than
	// the window allows, so that the delivery rate says nothing about the path.
	limitedUntil int64

	// current and previous are the highest rates measured in the present and in the last
	// rateWindow, in bytes per second; 0: none. The present one began at windowStart.
	current, previous float64
	windowStart       int64
	// measuredAt is when the rate was last measured while the senders had enough to send; 0:
	// never.
	measuredAt int64
	// trips counts the round trips of the pipe, the last of which began at tripStart.
	trips     int
	tripStart int64

	// startupEnded is true while the rate does not grow. startupRate is the rate that it must
	// exceed by growth, roundEnd the value of delivered at which the present round ends, and
	// flat the number of rounds in a row without growth.
	startupEnded bool
	startupRate  float64
	roundEnd     int64
	flat         int
}

// grantRecord is the state of a pipe when a piece was granted.
type grantRecord struct {
	at          int64
	delivered   int64
	deliveredAt int64
	grantedAt   int64
	// limited is true if the rate measured with the piece is a lower bound only.
	limited bool
}

// rate returns the learnt rate in bytes per second; 0: unknown.
func (p *pipe) rate() float64 { return max(p.current, p.previous) }

// timeFor returns the time in which n bytes arrive, without the round trip; 0: unknown.
func (p *pipe) timeFor(n int64) float64 {
	rate := p.rate()
	if rate == 0 {
		return 0
	}
	return float64(n) / rate * float64(time.Second)
}

// delay returns the time from the grant of a piece to its arrival, without queues.
func (p *pipe) delay(piece int64) float64 { return p.roundTrip + p.timeFor(piece) }

// product returns the bandwidth-delay product in bytes, for pieces of the given size; 0:
// unknown.
func (p *pipe) product(piece int64) float64 {
	return p.rate() * p.delay(piece) / float64(time.Second)
}

// window returns how many bytes should be outstanding, in pieces of the given size.
func (p *pipe) window(piece int64) int64 {
	product := p.product(piece)
	return max(int64(p.gain*product), int64(product)+extraPieces*piece)
}

// isFull reports whether the window has no room for another piece.
func (p *pipe) isFull(piece int64) bool {
	return p.outstanding > 0 && p.outstanding+piece > p.window(piece)
}

// pace returns the rate at which bytes are granted, in bytes per second; 0: no limit.
func (p *pipe) pace() float64 {
	switch {
	case !p.startupEnded:
		return 0
	case p.probes():
		return paceGain * p.rate()
	case p.trips%paceInterval == 1:
		return (2 - paceGain) * p.rate()
	}
	return p.rate()
}

// probes reports whether bytes are granted faster than they arrive in the present round trip.
func (p *pipe) probes() bool { return p.startupEnded && p.trips%paceInterval == 0 }

// isBusy reports whether another piece would exceed the bandwidth-delay product.
func (p *pipe) isBusy(piece int64) bool {
	return p.outstanding > 0 && float64(p.outstanding+piece) > p.product(piece)
}

// countTrips begins the next round trip if the present one has ended.
func (p *pipe) countTrips(now, piece int64) {
	if float64(now-p.tripStart) >= p.delay(piece) {
		p.trips++
		p.tripStart = now
	}
}

// predict returns the expected time until n bytes have arrived; 0: unknown.
func (p *pipe) predict(now, n int64) time.Duration {
	if !p.isMeasured(now) {
		return 0
	}
	return time.Duration(p.delay(n))
}

// isMeasured reports whether the learnt rate is recent enough for predictions.
func (p *pipe) isMeasured(now int64) bool {
	return p.measuredAt != 0 && now-p.measuredAt <= RateValidity
}

// grant adds a piece of n bytes to those on the way.
func (p *pipe) grant(now, n int64) grantRecord {
	if p.outstanding == 0 {
		p.deliveredAt, p.grantedAt = now, now
	}
	p.outstanding += n
	return grantRecord{
		at: now, delivered: p.delivered, deliveredAt: p.deliveredAt, grantedAt: p.grantedAt,
		limited: p.delivered < p.limitedUntil,
	}
}

// deliver counts n bytes that have arrived.
func (p *pipe) deliver(now, n int64) {
	p.delivered += n
	p.deliveredAt = now
}

// measure updates the rate with a piece that has arrived as a whole.
func (p *pipe) measure(now int64, record *grantRecord) {
	p.grantedAt = record.at
	interval := max(now-record.deliveredAt, record.at-record.grantedAt)
	if interval <= 0 {
		return
	}
	rate := float64(p.delivered-record.delivered) / float64(interval) * float64(time.Second)
	if !record.limited || rate > p.rate() {
		p.addRate(now, rate)
	}
	if !record.limited {
		p.measuredAt = now
	}
	if record.delivered >= p.roundEnd {
		p.endRound()
	}
}

func (p *pipe) addRate(now int64, rate float64) {
	if now-p.windowStart > rateWindow {
		p.previous, p.current, p.windowStart = p.current, 0, now
	}
	p.current = max(p.current, rate)
}

// endRound decides at the end of a round whether the startup has ended.
func (p *pipe) endRound() {
	p.roundEnd = p.delivered
	if p.rate() > growth*p.startupRate {
		p.startupRate, p.flat, p.startupEnded = p.rate(), 0, false
		return
	}
	p.startupRate = min(p.startupRate, p.rate())
	p.flat++
	p.startupEnded = p.flat >= flatRounds
}

// noteSenderLimited records, after a pass over the transfers, that the senders have less to send
// than the window allows.
func (p *pipe) noteSenderLimited() { p.limitedUntil = p.delivered + p.outstanding }

// followRoundTrip updates the mean round-trip time of the shared pipe with that of a sender
// that is granted a piece.
func (p *pipe) followRoundTrip(roundTrip float64) {
	if p.roundTrip == 0 {
		p.roundTrip = roundTrip
		return
	}
	p.roundTrip += (roundTrip - p.roundTrip) * roundTripWeight
}
