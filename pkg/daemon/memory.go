package daemon

import (
	"runtime/debug"

	"github.com/rushramp/rushramp/pkg/settings"
)

// goMemoryShare is the share of the process's memory that the Go runtime may use. The rest is
// for the program's text and for C libraries.
const goMemoryShare = 0.6

// limitMemory makes the garbage collector work harder as the process comes near its memory,
// in bytes; 0 means that it is not known.
func limitMemory(memoryBytes int) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * goMemoryShare))
	}
}

// answersShare is the part of the process's memory that answers at the executor may take up.
const answersShare = 6

// fitAnswers lowers limits.answers_bytes to what the memory of the process allows.
func fitAnswers(l *settings.Limits) {
	if l.MemoryBytes > 0 {
		l.AnswersBytes = min(l.AnswersBytes, l.MemoryBytes/answersShare)
	}
}
