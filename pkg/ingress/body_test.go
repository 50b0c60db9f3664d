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
func withRoom(t *testing.T, room int, run func(t *testing.T, w *pipelineWorld)) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		w.server.Bodies = bodies.NewBudget(room, metrics.NewSet())
		run(t, w)
		synctest.Wait()
		test.Eq(t, 0, w.server.Bodies.Reserved())
	})
}

func inChunks(id, body string) string {
	head, _, _ := strings.Cut(post(id, ""), "Content-Length")
	return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// TestABodyWithoutRoomIsRefusedAsNotRun, whether its length is known or not, and
// room comes back with the end of those that hold it.
func TestABodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	for name, send := range map[string]func(id, body string) string{"with a length": post, "in chunks": inChunks} {
		t.Run(name, func(t *testing.T) {
			withRoom(t, 1000, func(t *testing.T, w *pipelineWorld) {
				body := strings.Repeat("x", 600)
				first, second, third := w.caller(), w.caller(), w.caller()
				first.send(send("a", body))
				test.Eq(t, 600, w.server.Bodies.Reserved())
				second.send(send("b", body))
				test.Eq(t, "503(close) end", second.answers())
				w.backend.answer(t, "a", "")
				synctest.Wait()
				third.send(send("c", body))
				w.backend.answer(t, "c", "")
				test.Eq(t, "c", third.answers())
				test.Eq(t, "a c", w.backend.starts())
			})
		})
	}
}

// TestACallerThatStallsMidwayHoldsRoomForItsTimeOnly.
func TestACallerThatStallsMidwayHoldsRoomForItsTimeOnly(t *testing.T) {
	withRoom(t, 1000, func(t *testing.T, w *pipelineWorld) {
		given, open := w.caller(), w.caller()
		half := post("a", strings.Repeat("x", 400))[:200]
		given.send(strings.Replace(half, "Content-Length", "Rushramp-Timeout: 3000\r\nContent-Length", 1))
		open.send(half)
		test.Eq(t, 800, w.server.Bodies.Reserved())
		time.Sleep(4 * time.Second)
		test.StrHasPrefix(t, fmt.Sprint(errkind.DeadlineBeforeRun.Row().Status), given.answers())
		test.Eq(t, 400, w.server.Bodies.Reserved())
		time.Sleep(bodyTime)
		test.Eq(t, 0, w.server.Bodies.Reserved())
		test.Eq(t, "", w.backend.starts())
	})
}

// TestRoomComesBackFromRequestsThatNeverStart: behind an answer that closes, and
// of a caller that leaves.
func TestRoomComesBackFromRequestsThatNeverStart(t *testing.T) {
	withRoom(t, 1000, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + post("p", strings.Repeat("x", 500)))
		test.Eq(t, 500, w.server.Bodies.Reserved())
		c.leave()
		test.Eq(t, 0, w.server.Bodies.Reserved())
		test.Eq(t, "a", w.backend.starts())
	})
}

func timed(id, body string, ms int) string {
	return strings.Replace(post(id, body), "Content-Length", fmt.Sprintf("Rushramp-Timeout: %d\r\nContent-Length", ms), 1)
}

// TestAStallingCallerTakesTheRoomForAMinuteAtMost: one that states a large body and an hour, and sends nothing, takes all the
// room for an hour.
func TestAStallingCallerTakesTheRoomForAMinuteAtMost(t *testing.T) {
	withRoom(t, 1000, func(t *testing.T, w *pipelineWorld) {
		staller := w.caller()
		whole := timed("a", strings.Repeat("x", 1000), 3600_000)
		staller.send(whole[:len(whole)-1000])
		time.Sleep(2 * bodyTime)
		small := w.caller()
		small.send(post("b", "x"))
		test.Eq(t, "b", w.backend.starts())
		test.Eq(t, 0, w.server.Bodies.Reserved()-1, test.Sprint("after two minutes"))
		w.backend.answer(t, "b", "")
		test.Eq(t, "b", small.answers())
		staller.leave()
	})
}

// panics is a body whose reading panics.
type panics struct{}

func (panics) Read([]byte) (int, error) { panic(http.ErrAbortHandler) }

// TestAPanicKeepsNoRoom: whatever goes wrong before a request runs.
func TestAPanicKeepsNoRoom(t *testing.T) {
	withRoom(t, 1000, func(t *testing.T, w *pipelineWorld) {
		r := httptest.NewRequest(http.MethodPost, "http://h/post/a", io.NopCloser(panics{}))
		r.ContentLength = 600
		r.Header.Set(w.server.headers.RequestID, "a")
		func() {
			defer func() { test.NotNil(t, recover()) }()
			w.server.ServeHTTP(httptest.NewRecorder(), r)
		}()
		test.Eq(t, 0, w.server.Bodies.Reserved())
	})
}
