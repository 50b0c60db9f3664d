package evacuation

import (
	"testing"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

func TestWithAppliesChanges(t *testing.T) {
	s := Set{}.With(4, []Change{{"b", true}, {"a", true}, {"b", true}})
	test.Eq(t, []string{"a", "b"}, s.DataCentres)
	test.Eq(t, 4, s.Revision)
	later := s.With(6, []Change{{"a", false}, {"c", false}})
	test.Eq(t, []string{"b"}, later.DataCentres)
	test.True(t, later.Has("b"))
	test.False(t, later.Has("a"))
	test.Eq(t, []string{"a", "b"}, s.DataCentres, test.Sprint("a set is never changed"))
}

// TestSetAgreesWithAMapOfChanges compares With and Has with a plain map.
func TestSetAgreesWithAMapOfChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want, s := map[string]bool{}, Set{}
		for revision := range uint64(rapid.IntRange(0, 20).Draw(t, "changes")) {
			c := Change{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre"), rapid.Bool().Draw(t, "evacuated")}
			want[c.DataCentre] = c.Evacuated
			s = s.With(revision, []Change{c})
			for name, evacuated := range want {
				test.Eq(t, evacuated, s.Has(name))
			}
		}
	})
}
