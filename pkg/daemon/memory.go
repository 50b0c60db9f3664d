package daemon

import "runtime/debug"

// goMemoryShare is the share of the process's memory that the Go runtime may use. The rest is
// for the program's text and for C libraries.
const goMemoryShare = 0.7

// limitMemory makes the garbage collector work harder as the process comes near its memory,
// in bytes; 0 means that it is not known.
func limitMemory(memoryBytes int) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * goMemoryShare))
	}
}
