package systems

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

func TestALargeServicesSubsetPrefersTheOwnDataCentre(t *testing.T) {
	w := tables.NewWorld("vm", "a")
	for n := range 30 {
		w.Members.Merge(1, nil, wire.Member{VM: fmt.Sprint("s", n), DataCentre: string(rune('a' + n%3)), Service: "s", Slots: 1})
	}
	kind := placement.Compile(&placement.Document{Services: []placement.Service{{
		Name: "s", Kinds: []placement.Kind{{Name: "k", Path: "/*", DataCentres: []string{"a", "b", "c"}}},
	}}}).Service("s").Kinds[0]
	near := func(share float64) int {
		got := Subset(w, settings.Choosing{Subset: 16, NearShare: share}, kind)
		must.Len(t, 16, got)
		count := 0
		for _, route := range got {
			if route.DataCentre == "a" {
				count++
			}
		}
		return count
	}
	test.Eq(t, 10, near(0.75), test.Sprint("all ten of the own data centre"))
	test.GreaterEq(t, 4, near(0.25))
	test.Less(t, 10, near(0))
}
