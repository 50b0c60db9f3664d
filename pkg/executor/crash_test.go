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

// TestACallThatCrashesBackendServersIsQuarantined: the backend server's process ends twice
// while it runs the call. The call is then refused, and other calls are not.
func TestACallThatCrashesBackendServersIsQuarantined(t *testing.T) {
	e, _ := start(t, nil)
	crashing := subsetCall()
	crashing.URI = "/subset/fatal"
	var runs atomic.Int64
	for range 2 {
		// The stand-in that start created keeps its address, so each simulated process
		// of the backend server listens at a new one.
		address := addresses.Next().Address(9000)
		e.Settings.BackendServer.Address = address
		e.backend = newBackendClient(e.Settings.BackendServer, e.Settings.Limits.MaxBodyBytes, e.Now)
		listener, err := net.Listen("tcp", address)
		must.NoError(t, err)
		server := &http.Server{}
		server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			_ = server.Close()
		})
		go func() { _ = server.Serve(listener) }()
		result := execute(e, &crashing)
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.BackendFailed, result.Refusal.Kind)
	}
	result := execute(e, &crashing)
	must.NotNil(t, result.Refusal)
	test.Eq(t, errkind.RequestHeld, result.Refusal.Kind)
	test.Eq(t, errkind.RanNo, result.Refusal.Ran)
	test.Eq(t, 2, runs.Load())
	other := subsetCall()
	result = execute(e, &other)
	must.NotNil(t, result.Refusal)
	test.Eq(t, errkind.BackendUnreachable, result.Refusal.Kind, test.Sprint("nothing listens at the address"))
}
