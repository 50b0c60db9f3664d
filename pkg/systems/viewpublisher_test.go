package systems

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestVMCountsOfServicesArePublished at the first tick and again after each change.
func TestVMCountsOfServicesArePublished(t *testing.T) {
	env := testEnv()
	p := &viewPublisher{Env: env}
	for _, s := range []struct {
		vm, service string
		want        float64
	}{{"1", "a", 1}, {"2", "b", 0.5}, {"3", "b", 1.0 / 3}} {
		env.World.Members.Merge(1, nil, wire.Member{VM: s.vm, DataCentre: "here", Service: s.service})
		p.Tick(1, &tables.Mail{})
		test.Eq(t, s.want, env.World.View.VMShareOf([]string{"a"}))
	}
}
