package choose

import "math/rand/v2"

// RuntimeRandom is the random source of the Go runtime. It takes no lock.
type RuntimeRandom struct{}

// IntN returns a number from 0 to n-1.
func (RuntimeRandom) IntN(n int) int { return rand.IntN(n) }

// Float64 returns a number from 0 up to, but not including, 1.
func (RuntimeRandom) Float64() float64 { return rand.Float64() }
