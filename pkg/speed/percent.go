package speed

// UsualPercent is the slowdown of a backend server that works as usual, in the
// form in which slowdowns travel: in percent of the usual work time.
const UsualPercent = 100

// Slowdown turns percent of the usual work time into a slowdown, 1 for none.
func Slowdown(percent int64) float64 { return float64(percent) / UsualPercent }

// Percent turns a slowdown, 1 for none, into percent of the usual work time.
func Percent(slowdown float64) uint32 { return uint32(slowdown * UsualPercent) }
