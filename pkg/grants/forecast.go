package grants

import "time"

// ExpectedTime returns the expected time until a transfer that is added now has arrived,
// behind those that are granted before it; 0: unknown.
func (s *Scheduler) ExpectedTime(now int64, t Transfer) time.Duration {
	all, own := t.Size, t.Size
	for _, other := range s.transfers {
		if other.sender.stalled || before(now, &t, &other.Transfer) {
			continue
		}
		all += other.Size - other.arrived
		if other.Sender == t.Sender {
			own += other.Size - other.arrived
		}
	}
	expected := s.shared.predict(now, all)
	if from := s.senders[t.Sender]; from != nil {
		expected = max(expected, from.predict(now, own))
	}
	return expected
}

// Forecast is what a body that is offered now can expect.
type Forecast struct {
	// Wait is the time until the bodies that are granted before it have arrived.
	Wait time.Duration
	// Rate is the rate at which it then arrives, in bytes per second.
	Rate float64
}

// Forecast returns the forecast for a body that is offered now, behind all others except
// those that are late or whose senders have stalled. It is zero while no rate is known.
func (s *Scheduler) Forecast(now int64) Forecast {
	if !s.shared.isMeasured(now) {
		return Forecast{}
	}
	var ahead int64
	for _, t := range s.transfers {
		if !t.sender.stalled && t.StartBy >= now {
			ahead += t.Size - t.arrived
		}
	}
	return Forecast{Wait: time.Duration(s.shared.timeFor(ahead)), Rate: s.shared.rate()}
}

// Load is what a scheduler has granted and learnt.
type Load struct {
	// Waiting is the number of bytes that are not granted yet, Outstanding that of those that
	// are granted and have not arrived, without those of stalled senders.
	Waiting, Outstanding int64
	// Rate is the learnt rate in bytes per second; 0: unknown.
	Rate float64
}

// Load returns the present load.
func (s *Scheduler) Load() Load {
	load := Load{Outstanding: s.shared.outstanding, Rate: s.shared.rate()}
	for _, t := range s.transfers {
		load.Waiting += t.Size - t.granted
	}
	return load
}
