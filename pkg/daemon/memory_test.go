package daemon

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/settings"
)

// TestAnswersFitTheMemory guards against answers at the executor that take most of a small
// process's memory.
func TestAnswersFitTheMemory(t *testing.T) {
	for memory, want := range map[int]int{0: 30_000_000, 600_000_000: 30_000_000, 180_000_000: 30_000_000, 96_000_000: 16_000_000} {
		l := settings.Limits{MemoryBytes: memory, AnswersBytes: 30_000_000}
		fitAnswers(&l)
		test.Eq(t, want, l.AnswersBytes, test.Sprint(memory))
	}
}
