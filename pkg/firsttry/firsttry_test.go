package firsttry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

const ms = time.Millisecond

// TestCallersThatComeBackAreTold: after a loss of power three in four requests are
// from callers that come back with what is left of 2.5 s.
func TestCallersThatComeBackAreTold(t *testing.T) {
	ages, random := NewAges(), rand.New(rand.NewPCG(1, 1))
	known := 0
	for i := range 400 {
		test.Eq(t, 0, ages.Take("load", 2500*ms))
		for range 3 {
			since := time.Duration(100+random.IntN(2000)) * ms
			switch age := ages.Take("load", 2500*ms-since); {
			case age == since:
				known++
			case i >= 20:
				test.Eq(t, since, age)
			}
		}
	}
	test.Greater(t, 1100, known, test.Sprint("of 1,200"))
}

// TestKindsOfCallers: those that wait for less than others have not come back.
func TestKindsOfCallers(t *testing.T) {
	ages := NewAges()
	for range 50 {
		ages.Take("load", 2500*ms)
		ages.Take("load", 1000*ms)
	}
	test.Eq(t, 0, ages.Take("load", 1000*ms))
	test.Eq(t, 300*ms, ages.Take("load", 700*ms))
	test.Eq(t, 900*ms, ages.Take("load", 1600*ms))
	test.Eq(t, 0, ages.Take("load", 3000*ms))
	test.Eq(t, 0, ages.Take("load", 0))
	test.Eq(t, 0, ages.Take("other", 700*ms))
}

// TestTimesThatNeverRepeatTellNothing, as those of calls that services make.
func TestTimesThatNeverRepeatTellNothing(t *testing.T) {
	ages, random := NewAges(), rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		test.Eq(t, 0, ages.Take("call", time.Duration(random.Int64N(int64(400*ms)))))
	}
	test.LessEq(t, mostValues, len(ages.byRoute["call"].values))
}

// TestAChangedTimeIsLearnt: callers wait for less from now on.
func TestAChangedTimeIsLearnt(t *testing.T) {
	ages := NewAges()
	for range 1000 {
		ages.Take("load", 2500*ms)
	}
	for range remembered {
		ages.Take("load", 1000*ms)
	}
	test.Eq(t, 0, ages.Take("load", 1000*ms))
	for range 2 * remembered {
		ages.Take("load", 1000*ms)
	}
	test.Eq(t, 200*ms, ages.Take("load", 800*ms))
}

func BenchmarkTake(b *testing.B) {
	ages := NewAges()
	waits := 0
	for b.Loop() {
		waits = (waits + 7) % 2500
		ages.Take("load", time.Duration(2500-waits)*ms)
	}
}
