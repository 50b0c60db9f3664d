package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/loopback"
	"github.com/rushramp/rushramp/pkg/settings"
)

// addresses allocates the addresses of the daemons, since tests may run in parallel.
var addresses loopback.Allocator

// stopTimeout is how long a test waits for a daemon that does not end.
const stopTimeout = 30 * time.Second

// settingsOf returns the text of the settings of a daemon with all listeners, whose store does
// not answer.
func settingsOf(vm loopback.VM, form string) string {
	const portRouted, portReadiness = 7410, 7411
	return fmt.Sprintf(`
vm: {id: vm-1, data_centre: a}
listen: {routed: %q, readiness: %q, links: %q, callers: %q, operators: %q, metrics: %q}
backend_server: {service: alpha, address: %q, slots: 4}
platform: {address: %q, form: %s}
routing: {linger: 10ms}
drain: {linger: 0s, bound: 1s}
`, vm.Address(portRouted), vm.Address(portReadiness), vm.Address(loopback.PortLinks), vm.Address(loopback.PortCallers),
		vm.Address(loopback.PortOperators), vm.Address(loopback.PortMetrics), vm.Address(loopback.PortBackend), vm.Address(loopback.PortPlatform), form)
}

func writeSettings(t *testing.T, text string) (path string) {
	path = filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// waitFor fails the test unless done is closed within stopTimeout.
func waitFor(t *testing.T, done <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		t.Fatalf("not within %v: %s", stopTimeout, what)
	}
}

// TestADrainBeforeTheStart: an operator's drain that came before the listener of routed requests
// was open ended the process with a nil pointer.
func TestADrainBeforeTheStart(t *testing.T) {
	s, err := settings.Load(writeSettings(t, settingsOf(addresses.Next(), "http")))
	must.NoError(t, err)
	d, err := New(&s, Options{})
	must.NoError(t, err)
	defer d.Stop()
	d.Leave()
	must.NoError(t, d.Start())
	waitFor(t, d.Drained(), "the daemon has drained")
}

// TestASignalDuringTheStart: SIGTERM ended a process at once whose listeners were open and that
// had not asked for the signal yet, with requests in flight.
func TestASignalDuringTheStart(t *testing.T) {
	// Without the daemon's own handler, the signal would end the test.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	factory := func(s *settings.Settings) (*Adapter, error) {
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		<-signals
		return newHTTPAdapter(s)
	}
	cmd := NewCommand(Adapters{"test": factory})
	cmd.SetArgs([]string{"--settings", writeSettings(t, settingsOf(addresses.Next(), "test"))})
	done := make(chan struct{})
	var err error
	go func() {
		err = cmd.Execute()
		close(done)
	}()
	waitFor(t, done, "the daemon has ended")
	must.NoError(t, err)
}
