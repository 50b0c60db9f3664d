package concurrency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// simulatedServer is a backend server whose runs slow down when many execute at once.
type simulatedServer struct {
	slots int
	// knee is the share of the slots above which runs slow down, factor by how much.
	knee   float64
	factor float64
	random *rand.Rand
}

// runTime returns a random run time, as a multiple of the expected one, for a run that
// starts when running runs execute, itself included.
func (s *simulatedServer) runTime(running int) float64 {
	out := math.Exp(0.3 * s.random.NormFloat64())
	if float64(running) > s.knee*float64(s.slots) {
		out *= s.factor
	}
	return out
}

// simulate runs some seconds of load: runs start at any concurrency up to the limit, and
// above it when the limiter asks for a probe. It returns the number of probes.
func simulate(l *Limiter, s *simulatedServer, seconds int) (probes int) {
	const step = 20 * time.Millisecond
	for now := int64(1); now < int64(seconds)*int64(time.Second); now += int64(step) {
		running := 1 + s.random.IntN(l.Limit())
		if running == l.Limit() && l.ShouldProbe(now) {
			running++
			probes++
		}
		l.RecordRun(now, running, s.runTime(running))
	}
	return probes
}

// TestLimitFollowsTheKnee checks that the limit settles between low and high: near the
// knee (simulatedServer.knee), or at the number of slots if there is none.
func TestLimitFollowsTheKnee(t *testing.T) {
	scenarios := []struct {
		name           string
		slots, initial int
		knee           float64
		low, high      int
	}{
		{"at the initial limit", 18, 14, 0.8, 13, 14},
		{"below the initial limit", 18, 14, 0.6, 9, 11},
		{"none", 18, 14, 1, 17, 18},
		{"few slots", 6, 4, 0.8, 4, 4},
		{"few slots, no knee", 6, 4, 1, 6, 6},
		{"two slots", 2, 2, 1, 2, 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(20) {
				l := NewLimiter(s.slots, s.initial)
				simulate(l, &simulatedServer{slots: s.slots, knee: s.knee, factor: 1.7, random: rand.New(rand.NewPCG(1, seed))}, 120)
				test.Between(t, s.low, l.Limit(), s.high, test.Sprint("seed", seed))
			}
		})
	}
}

// TestFewProbesWhileTheyAreSlowed checks that a limiter makes few probes in ten minutes
// when they are slowed, since it stops probing for longer each time.
func TestFewProbesWhileTheyAreSlowed(t *testing.T) {
	l := NewLimiter(18, 14)
	probes := simulate(l, &simulatedServer{slots: 18, knee: 0.8, factor: 1.7, random: rand.New(rand.NewPCG(1, 7))}, 600)
	test.Between(t, 10, probes, 80)
}

// TestLimitKeepsToItsBounds checks that the limit does not fall below minLimitShare, and
// that there is no probe when the limit is the number of slots.
func TestLimitKeepsToItsBounds(t *testing.T) {
	l := NewLimiter(10, 8)
	s := &simulatedServer{slots: 10, knee: 0.1, factor: 3, random: rand.New(rand.NewPCG(1, 2))}
	simulate(l, s, 300)
	test.Eq(t, 4, l.Limit())
	test.False(t, NewLimiter(10, 10).ShouldProbe(1))
}
