package speed

// NormalPercent is the slowdown at normal speed in percent, the unit in which slowdowns
// are sent.
const NormalPercent = 100

// FromPercent converts a slowdown in percent to a factor, 1 at normal speed.
func FromPercent(percent int64) float64 { return float64(percent) / NormalPercent }

// ToPercent converts a slowdown as a factor, 1 at normal speed, to percent.
func ToPercent(slowdown float64) uint32 { return uint32(slowdown * NormalPercent) }
