package choose

import "math/rand/v2"

// Runtime is the random source of the Go runtime, without a lock.
type Runtime struct{}

// IntN returns a number from 0 to n-1.
func (Runtime) IntN(n int) int { return rand.IntN(n) }

// Float64 returns a number from 0 up to 1.
func (Runtime) Float64() float64 { return rand.Float64() }
