package systems

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestHearsayGoesToAFewDaemons: with two links to each of 60 daemons, four
// daemons are reached, over one link each.
func TestHearsayGoesToAFewDaemons(t *testing.T) {
	env := testEnv()
	for n := range 60 {
		for range 2 {
			env.World.Peers.Put(&link.Peer{Hello: wire.Hello{VM: fmt.Sprint(n)}})
		}
	}
	reached := map[string]struct{}{}
	links := (&spread{Env: env}).someDaemons()
	for peer := range links {
		reached[peer.Hello.VM] = struct{}{}
	}
	test.MapLen(t, spreadFanout, links)
	test.MapLen(t, spreadFanout, reached)
}

func TestARowDoesNotGoBackToTheDaemonItCameFrom(t *testing.T) {
	from := &link.Peer{Hello: wire.Hello{VM: "a"}}
	otherWay := &link.Peer{Hello: wire.Hello{VM: "a"}}
	fresh := []tables.Fresh{{Row: wire.Member{VM: "x"}, From: from}, {Row: wire.Member{VM: "y"}}}
	test.Len(t, 1, except(otherWay, fresh))
	test.Len(t, 2, except(&link.Peer{Hello: wire.Hello{VM: "b"}}, fresh))
}
