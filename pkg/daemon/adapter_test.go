package daemon

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/settings"
)

// TestAVersionInTheSettingsIsOneForOwnCallsOnly: elsewhere backend servers tell theirs,
// and two words on it could differ.
func TestAVersionInTheSettingsIsOneForOwnCallsOnly(t *testing.T) {
	s := settings.Default()
	s.Platform.Address, s.BackendServer.Version = "127.0.0.1:1", "v1"
	adapter, err := Adapters{}.adapter(&s)
	test.NoError(t, err)
	test.Eq(t, ownBounds(), adapter.Bounds)
	s.Listen.Routed = "127.0.0.1:2"
	_, err = Adapters{}.adapter(&s)
	test.ErrorIs(t, err, errVersionTold)
	s.Listen.Routed, s.Platform.Form = "", "other"
	_, err = Adapters{"other": nil}.adapter(&s)
	test.ErrorIs(t, err, errVersionTold)
	s.Platform.Form, s.BackendServer.Version = "http", ""
	adapter, err = Adapters{}.adapter(&s)
	test.NoError(t, err)
	test.Eq(t, Bounds{}, adapter.Bounds)
}
