package speed

// NormalPercent is the slowdown of a backend server that works as usual, in the
// form in which slowdowns travel: in percent of the usual work time.
const NormalPercent = 100

// FromPercent turns percent of the usual work time into a slowdown, 1 for none.
func FromPercent(percent int64) float64 { return float64(percent) / NormalPercent }

// ToPercent turns a slowdown, 1 for none, into percent of the usual work time.
func ToPercent(slowdown float64) uint32 { return uint32(slowdown * NormalPercent) }
