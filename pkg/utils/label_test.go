package utils

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

// TestLabelIsValidForAnyText checks that the metrics library accepts each label.
func TestLabelIsValidForAnyText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		test.NoError(t, metrics.ValidateMetric(`m{a="`+Label(text)+`",b="c"}`))
	})
	test.Eq(t, "a_b__", Label("a\"b\\\n"))
	test.Eq(t, 0, testing.AllocsPerRun(10, func() { _ = Label("desk") }))
}
