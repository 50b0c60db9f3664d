package ingress

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// withBodyBudget runs a test against a server that may hold limit bytes of request bodies.
// It checks that all reservations are released in the end.
func withBodyBudget(t *testing.T, limit int, run func(t *testing.T, env *pipelineEnv)) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		env.server.Bodies = bodies.NewBudget(limit, metrics.NewSet())
		run(t, env)
		synctest.Wait()
		test.Eq(t, 0, env.server.Bodies.Reserved())
	})
}

// chunkedPost returns the text of a post request with a chunked body.
func chunkedPost(id, body string) string {
	head, _, _ := strings.Cut(post(id, ""), "Content-Length")
	return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// TestBodyOverTheBudgetIsRefusedAsNotRun checks bodies of known and of unknown length.
// When the first request has ended, a third one gets its reservation.
func TestBodyOverTheBudgetIsRefusedAsNotRun(t *testing.T) {
	for name, send := range map[string]func(id, body string) string{"with a length": post, "in chunks": chunkedPost} {
		t.Run(name, func(t *testing.T) {
			withBodyBudget(t, 1000, func(t *testing.T, env *pipelineEnv) {
				body := strings.Repeat("x", 600)
				first, second, third := env.caller(), env.caller(), env.caller()
				first.send(send("a", body))
				test.Eq(t, 600, env.server.Bodies.Reserved())
				second.send(send("b", body))
				test.Eq(t, "503(close) end", second.answers())
				env.backend.answer(t, "a", "")
				synctest.Wait()
				third.send(send("c", body))
				env.backend.answer(t, "c", "")
				test.Eq(t, "c", third.answers())
				test.Eq(t, "a c", env.backend.startedIDs())
			})
		})
	}
}

// TestStalledBodyReleasesItsReservationAtItsTimeout checks a request with a timeout of its
// own and one whose body is limited by maxBodyTime alone.
func TestStalledBodyReleasesItsReservationAtItsTimeout(t *testing.T) {
	withBodyBudget(t, 1000, func(t *testing.T, env *pipelineEnv) {
		withTimeout, withoutTimeout := env.caller(), env.caller()
		half := post("a", strings.Repeat("x", 400))[:200]
		withTimeout.send(strings.Replace(half, "Content-Length", "Rushramp-Timeout: 3000\r\nContent-Length", 1))
		withoutTimeout.send(half)
		test.Eq(t, 800, env.server.Bodies.Reserved())
		time.Sleep(4 * time.Second)
		test.StrHasPrefix(t, fmt.Sprint(errkind.DeadlineBeforeRun.Row().Status), withTimeout.answers())
		test.Eq(t, 400, env.server.Bodies.Reserved())
		time.Sleep(maxBodyTime)
		test.Eq(t, 0, env.server.Bodies.Reserved())
		test.Eq(t, "", env.backend.startedIDs())
	})
}

// TestRequestThatNeverStartsReleasesItsReservation checks a request that waits for an
// earlier one when its caller disconnects.
func TestRequestThatNeverStartsReleasesItsReservation(t *testing.T) {
	withBodyBudget(t, 1000, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(get("a") + post("p", strings.Repeat("x", 500)))
		test.Eq(t, 500, env.server.Bodies.Reserved())
		c.disconnect()
		test.Eq(t, 0, env.server.Bodies.Reserved())
		test.Eq(t, "a", env.backend.startedIDs())
	})
}

// postWithTimeout returns the text of a post request with a timeout in milliseconds.
func postWithTimeout(id, body string, ms int) string {
	return strings.Replace(post(id, body), "Content-Length", fmt.Sprintf("Rushramp-Timeout: %d\r\nContent-Length", ms), 1)
}

// TestStalledBodyReleasesItsReservationAfterMaxBodyTime: without maxBodyTime, a caller that
// announces a large body and a timeout of an hour, and sends no body, would keep the whole
// budget reserved for an hour.
func TestStalledBodyReleasesItsReservationAfterMaxBodyTime(t *testing.T) {
	withBodyBudget(t, 1000, func(t *testing.T, env *pipelineEnv) {
		stalled := env.caller()
		text := postWithTimeout("a", strings.Repeat("x", 1000), 3600_000)
		stalled.send(text[:len(text)-1000])
		time.Sleep(2 * maxBodyTime)
		small := env.caller()
		small.send(post("b", "x"))
		test.Eq(t, "b", env.backend.startedIDs())
		test.Eq(t, 0, env.server.Bodies.Reserved()-1, test.Sprint("after two minutes"))
		env.backend.answer(t, "b", "")
		test.Eq(t, "b", small.answers())
		stalled.disconnect()
	})
}

// panickingReader is a body whose Read panics.
type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic(http.ErrAbortHandler) }

// TestPanicReleasesTheReservation checks a panic before the request runs.
func TestPanicReleasesTheReservation(t *testing.T) {
	withBodyBudget(t, 1000, func(t *testing.T, env *pipelineEnv) {
		r := httptest.NewRequest(http.MethodPost, "http://h/post/a", io.NopCloser(panickingReader{}))
		r.ContentLength = 600
		r.Header.Set(env.server.headers.RequestID, "a")
		func() {
			defer func() { test.NotNil(t, recover()) }()
			env.server.ServeHTTP(httptest.NewRecorder(), r)
		}()
		test.Eq(t, 0, env.server.Bodies.Reserved())
	})
}
