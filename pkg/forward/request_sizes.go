package forward

import (
	"sync"
	"time"
)

const (
	// answerWeight is the weight of a new answer in the mean of its route.
	answerWeight = 1.0 / 8
	// requestWeight is the weight of a new request in the mean of all requests. The mean
	// then covers about a second of the requests of a busy entry.
	requestWeight = 1.0 / 128
	// frameBytes is the number of bytes that a request and its answer take on a link
	// besides their bodies: two frames with headers, measured as 200 and 130 bytes.
	frameBytes = 330
	// maxSizedRoutes limits the number of routes whose answer sizes are kept.
	maxSizedRoutes = 4096
)

// requestSizes keeps the mean number of bytes that requests and their answers take, from
// which the cost of crossing to another data centre is computed. It is safe for
// concurrent use.
type requestSizes struct {
	mu sync.Mutex
	// answers holds the mean size of an answer's body by route.
	answers map[string]*runningMean
	// all is the mean size of a request and its answer, over all routes.
	all runningMean
	// work is the mean work time of a request, over all routes.
	work runningMean
}

func newRequestSizes() *requestSizes { return &requestSizes{answers: map[string]*runningMean{}} }

// runningMean is an exponentially weighted mean that begins as a plain mean, so that the
// first values count alike.
type runningMean struct {
	mean  float64
	count int
}

func (m *runningMean) add(value, weight float64) {
	m.count++
	m.mean += (value - m.mean) * max(weight, 1/float64(m.count))
}

// add records an answered request of a route by the sizes of both bodies in bytes and by its
// work time.
func (s *requestSizes) add(route string, requestBody, answerBody int, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.answers[route]
	if known == nil {
		if len(s.answers) >= maxSizedRoutes {
			return
		}
		known = &runningMean{}
		s.answers[route] = known
	}
	known.add(float64(answerBody), answerWeight)
	s.all.add(float64(frameBytes+requestBody+answerBody), requestWeight)
	s.work.add(float64(work), requestWeight)
}

// meanWorkShare returns the mean work time of all requests as a multiple of the given one. It
// is 1 while either is not known.
func (s *requestSizes) meanWorkShare(work time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if work <= 0 || s.work.mean == 0 {
		return 1
	}
	return s.work.mean / float64(work)
}

// relative returns how many bytes a request with a body of that size and its answer are
// expected to take, as a multiple of the mean of all requests. It is 1 while no answer of
// the route is known.
func (s *requestSizes) relative(route string, requestBody int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.answers[route]
	if known == nil {
		return 1
	}
	return (frameBytes + float64(requestBody) + known.mean) / s.all.mean
}
