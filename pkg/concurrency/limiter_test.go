package concurrency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// server is a backend server whose work slows above a share of its slots.
type server struct {
	slots  int
	knee   float64
	factor float64
	random *rand.Rand
}

// run is how long a run takes that starts as one of so many, in units of its
// usual time.
func (s *server) run(running int) float64 {
	out := math.Exp(0.3 * s.random.NormFloat64())
	if float64(running) > s.knee*float64(s.slots) {
		out *= s.factor
	}
	return out
}

// play keeps the server busy for some seconds: runs start at any concurrency up
// to the limit, and over it where the limiter asks for that. over counts those.
func play(l *Limiter, s *server, seconds int) (over int) {
	const step = 20 * time.Millisecond
	for now := int64(1); now < int64(seconds)*int64(time.Second); now += int64(step) {
		running := 1 + s.random.IntN(l.Limit())
		if running == l.Limit() && l.ShouldProbe(now) {
			running++
			over++
		}
		l.RecordRun(now, running, s.run(running))
	}
	return over
}

// TestTheKneeIsFound: from a safe start, wherever work begins to slow.
func TestTheKneeIsFound(t *testing.T) {
	scenarios := []struct {
		name        string
		slots, from int
		knee        float64
		low, high   int
	}{
		{"at the start", 18, 14, 0.8, 13, 14},
		{"below it", 18, 14, 0.6, 9, 11},
		{"none", 18, 14, 1, 17, 18},
		{"few slots", 6, 4, 0.8, 4, 4},
		{"few slots, none", 6, 4, 1, 6, 6},
		{"two slots", 2, 2, 1, 2, 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(20) {
				l := NewLimiter(s.slots, s.from)
				play(l, &server{slots: s.slots, knee: s.knee, factor: 1.7, random: rand.New(rand.NewPCG(1, seed))}, 120)
				test.Between(t, s.low, l.Limit(), s.high, test.Sprint("seed", seed))
			}
		})
	}
}

// TestProbesAreFewWhereTheyAreSlowed: a dozen in two minutes, and then pauses
// that grow.
func TestProbesAreFewWhereTheyAreSlowed(t *testing.T) {
	l := NewLimiter(18, 14)
	over := play(l, &server{slots: 18, knee: 0.8, factor: 1.7, random: rand.New(rand.NewPCG(1, 7))}, 600)
	test.Between(t, 10, over, 80)
}

func TestTheLimitKeepsToItsBounds(t *testing.T) {
	l := NewLimiter(10, 8)
	s := &server{slots: 10, knee: 0.1, factor: 3, random: rand.New(rand.NewPCG(1, 2))}
	play(l, s, 300)
	test.Eq(t, 4, l.Limit())
	test.False(t, NewLimiter(10, 10).ShouldProbe(1))
}
