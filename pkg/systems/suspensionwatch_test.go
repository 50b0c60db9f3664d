package systems

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/clock"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

// TestSuspensionIsLoggedOnce also checks that Env.Now includes the suspended time.
func TestSuspensionIsLoggedOnce(t *testing.T) {
	env := testEnv()
	var out bytes.Buffer
	env.Log = events.NewLog(&out, events.Info)
	var vm *clock.Manual
	env.Clock, vm = clock.NewManual()
	env.DialOptions.HeartbeatTiming = link.NewHeartbeatTiming(time.Second)
	system := &suspensionWatch{Env: env}
	tick := func() { system.Tick(env.Now(), &tables.Mail{}) }
	vm.Advance(time.Minute)
	tick()
	test.Eq(t, 0, strings.Count(out.String(), "event=109"))
	vm.Suspend(4 * time.Second)
	tick()
	tick()
	test.Eq(t, 1, strings.Count(out.String(), "event=109"))
	test.Eq(t, int64(64*time.Second)+1, env.Now())
	test.True(t, system.outlastsLinks(4*time.Second))
	test.False(t, system.outlastsLinks(2*time.Second))
}
