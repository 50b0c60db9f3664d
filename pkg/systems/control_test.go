package systems

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/wire"
)

// TestTheHelloAnnouncesAcks: peers would otherwise never ask for them.
func TestTheHelloAnnouncesAcks(t *testing.T) {
	test.True(t, testEnv().Control.Hello().Features.Has(wire.FeatureAcks))
}
