package forward

import "sync"

const (
	// sizeWeight is the weight of one answer in its route's mean, meanWeight that of
	// one request in the mean of all: a hundred and some requests are a second or so of
	// a busy entry.
	sizeWeight = 1.0 / 8
	meanWeight = 1.0 / 128
	// frameBytes is what a request and its answer take on a link beside their bodies:
	// two frames with heads, measured as 200 and 130 bytes.
	frameBytes = 330
	// mostSizes bounds the routes whose sizes are kept.
	mostSizes = 4096
)

// sizes follows how many bytes requests and their answers take, so that a crossing is
// priced by what it moves. It is safe for concurrent use.
type sizes struct {
	mu      sync.Mutex
	answers map[string]*running
	// all is the mean of requests of all routes with their answers.
	all running
}

func newSizes() *sizes { return &sizes{answers: map[string]*running{}} }

// running is a mean in which the first few values count alike.
type running struct {
	mean  float64
	count int
}

func (r *running) note(value, weight float64) {
	r.count++
	r.mean += (value - r.mean) * max(weight, 1/float64(r.count))
}

// note takes a request of a route over that was answered; sizes are in bytes.
func (s *sizes) note(route string, body, answer int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.answers[route]
	if known == nil {
		if len(s.answers) >= mostSizes {
			return
		}
		known = &running{}
		s.answers[route] = known
	}
	known.note(float64(answer), sizeWeight)
	s.all.note(float64(frameBytes+body+answer), meanWeight)
}

// share is how many bytes a request of a route and its answer are expected to take, as
// a share of the mean of all requests; 1 while no answer of the route is known.
func (s *sizes) share(route string, body int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.answers[route]
	if known == nil {
		return 1
	}
	return (frameBytes + float64(body) + known.mean) / s.all.mean
}
