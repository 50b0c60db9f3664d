package daemon

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/settings"
)

// TestVersionSettingIsForOwnCallsOnly: with routed requests or another platform, backend
// servers announce their version, and the setting could contradict it.
func TestVersionSettingIsForOwnCallsOnly(t *testing.T) {
	s := settings.Default()
	s.Platform.Address, s.BackendServer.Version = "127.0.0.1:1", "v1"
	adapter, err := Adapters{}.adapter(&s)
	test.NoError(t, err)
	test.Eq(t, httpBounds(), adapter.Bounds)
	s.Listen.Routed = "127.0.0.1:2"
	_, err = Adapters{}.adapter(&s)
	test.ErrorIs(t, err, errVersionInSettings)
	s.Listen.Routed, s.Platform.Form = "", "other"
	_, err = Adapters{"other": nil}.adapter(&s)
	test.ErrorIs(t, err, errVersionInSettings)
	s.Platform.Form, s.BackendServer.Version = "http", ""
	adapter, err = Adapters{}.adapter(&s)
	test.NoError(t, err)
	test.Eq(t, Bounds{}, adapter.Bounds)
}
