package errkind

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test"
)

func TestTableHasARowForEachKind(t *testing.T) {
	seen := map[string]Kind{}
	for i, row := range Table() {
		test.NotEq(t, "", row.Name, test.Sprintf("kind %d has no name", i))
		test.NotEq(t, "", row.Advice, test.Sprintf("kind %d has no advice", i))
		test.Between(t, 200, row.Status, 599)
		_, duplicate := seen[row.Name]
		test.False(t, duplicate, test.Sprintf("name %s is used twice", row.Name))
		seen[row.Name] = Kind(i)
	}
}

func TestOnlyCallsThatDidNotRunAreRetriedElsewhere(t *testing.T) {
	for i, row := range Table() {
		if row.Elsewhere {
			test.Eq(t, RanNo, row.Ran, test.Sprintf("kind %d", i))
		}
	}
	refused := New(Overloaded, "full")
	test.True(t, refused.RetryElsewhere())
	test.False(t, refused.WithRanMaybe().RetryElsewhere())
}

func TestFrom(t *testing.T) {
	test.Nil(t, From(nil))
	test.Eq(t, Leaving, From(errors.Wrap(New(Leaving, "x"), "outer")).Kind)
	test.Eq(t, Internal, From(errors.New("other")).Kind)
	test.Eq(t, RanMaybe, From(errors.New("other")).Ran)
	test.Eq(t, "internal", Kind(200).String())
}
