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

// withRoom runs a test against a server with room for so many bytes of bodies.
func withBodyBudget(t *testing.T, room int, run func(t *testing.T, env *pipelineEnv)) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		env.server.Bodies = bodies.NewBudget(room, metrics.NewSet())
		run(t, env)
		synctest.Wait()
		test.Eq(t, 0, env.server.Bodies.Reserved())
	})
}

func chunkedPost(id, body string) string {
	head, _, _ := strings.Cut(post(id, ""), "Content-Length")
	return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// TestABodyWithoutRoomIsRefusedAsNotRun, whether its length is known or not, and
// room comes back with the end of those that hold it.
func TestABodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
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

// TestACallerThatStallsMidwayHoldsRoomForItsTimeOnly.
func TestACallerThatStallsMidwayHoldsRoomForItsTimeOnly(t *testing.T) {
	withBodyBudget(t, 1000, func(t *testing.T, env *pipelineEnv) {
		given, open := env.caller(), env.caller()
		half := post("a", strings.Repeat("x", 400))[:200]
		given.send(strings.Replace(half, "Content-Length", "Rushramp-Timeout: 3000\r\nContent-Length", 1))
		open.send(half)
		test.Eq(t, 800, env.server.Bodies.Reserved())
		time.Sleep(4 * time.Second)
		test.StrHasPrefix(t, fmt.Sprint(errkind.DeadlineBeforeRun.Row().Status), given.answers())
		test.Eq(t, 400, env.server.Bodies.Reserved())
		time.Sleep(maxBodyTime)
		test.Eq(t, 0, env.server.Bodies.Reserved())
		test.Eq(t, "", env.backend.startedIDs())
	})
}

// TestRoomComesBackFromRequestsThatNeverStart: behind an answer that closes, and
// of a caller that leaves.
func TestRoomComesBackFromRequestsThatNeverStart(t *testing.T) {
	withBodyBudget(t, 1000, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(get("a") + post("p", strings.Repeat("x", 500)))
		test.Eq(t, 500, env.server.Bodies.Reserved())
		c.disconnect()
		test.Eq(t, 0, env.server.Bodies.Reserved())
		test.Eq(t, "a", env.backend.startedIDs())
	})
}

func postWithTimeout(id, body string, ms int) string {
	return strings.Replace(post(id, body), "Content-Length", fmt.Sprintf("Rushramp-Timeout: %d\r\nContent-Length", ms), 1)
}

// TestAStallingCallerTakesTheRoomForAMinuteAtMost: one that states a large body and an hour, and sends nothing, takes all the
// room for an hour.
func TestAStallingCallerTakesTheRoomForAMinuteAtMost(t *testing.T) {
	withBodyBudget(t, 1000, func(t *testing.T, env *pipelineEnv) {
		staller := env.caller()
		whole := postWithTimeout("a", strings.Repeat("x", 1000), 3600_000)
		staller.send(whole[:len(whole)-1000])
		time.Sleep(2 * maxBodyTime)
		small := env.caller()
		small.send(post("b", "x"))
		test.Eq(t, "b", env.backend.startedIDs())
		test.Eq(t, 0, env.server.Bodies.Reserved()-1, test.Sprint("after two minutes"))
		env.backend.answer(t, "b", "")
		test.Eq(t, "b", small.answers())
		staller.disconnect()
	})
}

// panics is a body whose reading panics.
type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic(http.ErrAbortHandler) }

// TestAPanicKeepsNoRoom: whatever goes wrong before a request runs.
func TestAPanicKeepsNoRoom(t *testing.T) {
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
