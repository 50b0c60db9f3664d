package runner

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/wire"
)

// TestTheMostUrgentRankOfTheRuns: calls that services make do not count.
func TestTheMostUrgentRankOfTheRuns(t *testing.T) {
	k := newRanks()
	test.Eq(t, 0, k.first())
	k.add(0, wire.OriginService)
	two := k.add(2, wire.OriginCallers)
	test.Eq(t, 2, k.first())
	one, again := k.add(1, wire.OriginUnknown), k.add(1, wire.OriginCallers)
	test.Eq(t, 1, k.first())
	one()
	test.Eq(t, 1, k.first())
	again()
	test.Eq(t, 2, k.first())
	two()
	test.Eq(t, 0, k.first())
	test.MapEmpty(t, k.counts)
}
