package utils

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

// TestAnyWordMakesALabel that the metrics library takes.
func TestAnyWordMakesALabel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.String().Draw(t, "word")
		test.NoError(t, metrics.ValidateMetric(`m{a="`+Label(word)+`",b="c"}`))
	})
	test.Eq(t, "a_b__", Label("a\"b\\\n"))
	test.Eq(t, 0, testing.AllocsPerRun(10, func() { _ = Label("desk") }))
}
