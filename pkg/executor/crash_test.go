package executor

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
)

// TestACallThatEndsItsBackendServersIsHeldBack in rushramp's own interface, too: the
// process ends under it twice, and other calls are run.
func TestACallThatEndsItsBackendServersIsHeldBack(t *testing.T) {
	e, _ := start(t, nil)
	fatal := subset()
	fatal.URI = "/subset/fatal"
	var ran atomic.Int64
	for range 2 {
		// The listener of the executor's own stand-in goes on; another address takes its
		// place in each life of the backend server.
		address := addresses.Next().Address(9000)
		e.Settings.BackendServer.Address, e.backend.settings.Address = address, address
		l, err := net.Listen("tcp", address)
		must.NoError(t, err)
		server := &http.Server{}
		server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			ran.Add(1)
			_ = server.Close()
		})
		go func() { _ = server.Serve(l) }()
		result := execute(e, &fatal)
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.BackendFailed, result.Refusal.Kind)
	}
	result := execute(e, &fatal)
	must.NotNil(t, result.Refusal)
	test.Eq(t, errkind.RequestHeld, result.Refusal.Kind)
	test.Eq(t, errkind.RanNo, result.Refusal.Ran)
	test.Eq(t, 2, ran.Load())
	other := subset()
	result = execute(e, &other)
	must.NotNil(t, result.Refusal)
	test.Eq(t, errkind.BackendUnreachable, result.Refusal.Kind, test.Sprint("nobody listens any more"))
}
