package grants

import "time"

const (
	// minPieces is the least window of a pipe in pieces: with it, a second piece is on the way
	// while the first arrives.
	minPieces = 2
	// senderGain and sharedGain are the windows of a sender and of the receiver as multiples of
	// their bandwidth-delay product; a window is at least extraPieces above the product. That
	// of the receiver is larger: senders that are slower than the receiver's link, each with a
	// full window, must leave room for further senders, or the rate of the link would never be
	// learnt. startupGain applies until the rate has stopped growing for the first time (BBR,
	// Cardwell et al., 2016).
	senderGain  = 1.5
	sharedGain  = 2
	extraPieces = 2
	startupGain = 2
	// In one of paceInterval round trips, bytes are granted at paceGain times the learnt rate
	// to find out whether the path has become faster, and in the next one with as much less.
	paceInterval = 8
	paceGain     = 1.25
	// drainGain is the gain in one of drainInterval round trips. The queue in front of the
	// link is then empty, so that delays are measured without it.
	drainGain     = 0.75
	drainInterval = 32
	// growth is the increase of the rate in one round that keeps a pipe in its startup, and
	// flatRounds the number of rounds without it that end the startup.
	growth     = 1.25
	flatRounds = 3
	// rateWindow is the time, in nanoseconds, after which a measured rate begins to be
	// forgotten.
	rateWindow = int64(time.Second)
	// delayWeight is the weight of one measurement in the delay of a pipe. A measurement
	// counts for at most maxDelayGrowth times the delay, since a sender may have paused.
	delayWeight    = 1.0 / 8
	maxDelayGrowth = 2
)

// pipe learns how many bytes a path holds: the path from one sender, or the receiver's own
// link, which all transfers share. The rate is the highest delivery rate of the last one to
// two rateWindows, measured over at least one delay, as in BBR.
type pipe struct {
	// gain is the window as a multiple of the bandwidth-delay product.
	gain float64
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
	// delay is the time from a grant to the arrival of its last byte while nothing else is on
	// the way, in nanoseconds; 0: unknown. It was measured with a piece of delayPiece bytes.
	delay      float64
	delayPiece int64
	// trips counts the round trips of the pipe, the last of which began at tripStart.
	trips     int
	tripStart int64

	// started is true once the rate has stopped growing. startupRate is the rate that it must
	// exceed by growth, roundEnd the value of delivered at which the present round ends, and
	// flat the number of rounds in a row without growth.
	started     bool
	startupRate float64
	roundEnd    int64
	flat        int
}

// grantRecord is the state of a pipe when a piece was granted.
type grantRecord struct {
	at          int64
	delivered   int64
	deliveredAt int64
	grantedAt   int64
	// limited is true if the rate measured with the piece is a lower bound only.
	limited bool
	// alone is true if nothing else was on the way.
	alone bool
	// excess is the time that the bytes beyond the bandwidth-delay product need, in
	// nanoseconds.
	excess float64
}

// rate returns the learnt rate in bytes per second; 0: unknown.
func (p *pipe) rate() float64 { return max(p.current, p.previous) }

// delayFor returns the delay of a piece of n bytes; 0: unknown.
func (p *pipe) delayFor(n int64) float64 {
	if p.delay == 0 {
		return 0
	}
	return max(p.delay+p.timeFor(n-p.delayPiece), p.timeFor(n))
}

// product returns the bandwidth-delay product in bytes, for pieces of the given size; 0:
// unknown.
func (p *pipe) product(piece int64) float64 {
	return p.rate() * p.delayFor(piece) / float64(time.Second)
}

// window returns how many bytes should be outstanding, in pieces of the given size.
func (p *pipe) window(piece int64) int64 {
	product := p.product(piece)
	switch {
	case !p.started:
		return max(int64(startupGain*product), minPieces*piece)
	case p.drains():
		return int64(drainGain * product)
	}
	return max(int64(p.gain*product), int64(product)+extraPieces*piece)
}

// pace returns the rate at which bytes are granted, in bytes per second; 0: no limit.
func (p *pipe) pace() float64 {
	switch {
	case !p.started:
		return 0
	case p.trips%paceInterval == 0:
		return paceGain * p.rate()
	case p.trips%paceInterval == 1:
		return (2 - paceGain) * p.rate()
	}
	return p.rate()
}

// drains reports whether the present round trip lets the queue in front of the link drain.
func (p *pipe) drains() bool { return p.started && p.trips%drainInterval == drainInterval-1 }

// countTrips counts the round trips.
func (p *pipe) countTrips(now, piece int64) {
	if float64(now-p.tripStart) >= p.delayFor(piece) {
		p.trips++
		p.tripStart = now
	}
}

// isFull reports whether the window has no room for another piece.
func (p *pipe) isFull(piece int64) bool {
	return p.outstanding > 0 && p.outstanding+piece > p.window(piece)
}

// isOverfull reports whether more than the window is outstanding, or the window is full in a
// round trip in which the pipe drains.
func (p *pipe) isOverfull(piece int64) bool {
	if p.drains() {
		return p.isFull(piece)
	}
	return p.outstanding > 0 && p.outstanding > p.window(piece)
}

// timeFor returns the time in which n bytes arrive, without the delay; 0: unknown.
func (p *pipe) timeFor(n int64) float64 {
	rate := p.rate()
	if rate == 0 {
		return 0
	}
	return float64(n) / rate * float64(time.Second)
}

// predict returns the expected time until n bytes have arrived; 0: unknown.
func (p *pipe) predict(now, n int64) time.Duration {
	if p.measuredAt == 0 || now-p.measuredAt > rateValidity {
		return 0
	}
	return time.Duration(p.timeFor(n) + p.delay)
}

// grant adds a piece of n bytes to those on the way.
func (p *pipe) grant(now, n int64) grantRecord {
	alone := p.outstanding == 0
	if alone {
		p.deliveredAt, p.grantedAt = now, now
	}
	p.outstanding += n
	return grantRecord{
		at: now, delivered: p.delivered, deliveredAt: p.deliveredAt, grantedAt: p.grantedAt,
		limited: p.delivered < p.limitedUntil, alone: alone, excess: p.excess(n),
	}
}

// excess returns the time that the outstanding bytes beyond the bandwidth-delay product
// need, in nanoseconds; 0 while the product is unknown.
func (p *pipe) excess(piece int64) float64 {
	if !p.started {
		return 0
	}
	return p.timeFor(max(p.outstanding-int64(p.product(piece)), 0))
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
		p.startupRate, p.flat = p.rate(), 0
		return
	}
	p.flat++
	p.started = p.started || p.flat >= flatRounds
}

// noteLimit records, after a pass over the transfers, that the senders have less to send
// than the window allows.
func (p *pipe) noteLimit() { p.limitedUntil = p.delivered + p.outstanding }

// measureDelay updates the delay of a sender with a piece of n bytes that took the given
// time. own and shared are the records of the sender's pipe and of the shared one. A time
// that includes waiting behind other pieces only counts if it is shorter than the known
// delay; otherwise the delay and with it the window would grow without bound.
func (p *pipe) measureDelay(took float64, n int64, own, shared *grantRecord) {
	alone := own.alone && shared.alone
	known := p.delayFor(n)
	switch {
	case known == 0 && alone, known > 0 && took < known:
		p.delay, p.delayPiece = took, n
	case known == 0:
		p.delay, p.delayPiece = max(took-max(own.excess, shared.excess), p.timeFor(n)), n
	case alone:
		p.delay, p.delayPiece = known+(min(took, maxDelayGrowth*known)-known)*delayWeight, n
	}
}

// followDelay updates the delay of the shared pipe with that of the sender of a piece of n
// bytes.
func (p *pipe) followDelay(delay float64, n int64) {
	if known := p.delayFor(n); known > 0 {
		delay = known + (delay-known)*delayWeight
	}
	p.delay, p.delayPiece = delay, n
}
