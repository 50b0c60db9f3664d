package returns

import "sync"

// Schedules holds the schedule of each service at one entry.
type Schedules struct {
	random    func() float64
	mu        sync.Mutex
	byService map[string]*Schedule
}

// NewSchedules returns a set without schedules. random returns a number in [0, 1) and must
// be safe for concurrent use.
func NewSchedules(random func() float64) *Schedules {
	return &Schedules{random: random, byService: map[string]*Schedule{}}
}

// ForService returns the schedule of a service, which it makes if needed.
func (s *Schedules) ForService(service string) *Schedule {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.byService[service]
	if found == nil {
		found = NewSchedule(s.random)
		s.byService[service] = found
	}
	return found
}
