package ingress

import (
	"fmt"
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
		test.Eq(t, 0, w.server.Bodies.Held())
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
				test.Eq(t, 600, w.server.Bodies.Held())
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
		test.Eq(t, 800, w.server.Bodies.Held())
		time.Sleep(4 * time.Second)
		test.StrHasPrefix(t, fmt.Sprint(errkind.DeadlineBeforeRun.Row().Status), given.answers())
		test.Eq(t, 400, w.server.Bodies.Held())
		time.Sleep(bodyTime)
		test.Eq(t, 0, w.server.Bodies.Held())
		test.Eq(t, "", w.backend.starts())
	})
}

// TestRoomComesBackFromRequestsThatNeverStart: behind an answer that closes, and
// of a caller that leaves.
func TestRoomComesBackFromRequestsThatNeverStart(t *testing.T) {
	withRoom(t, 1000, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + post("p", strings.Repeat("x", 500)))
		test.Eq(t, 500, w.server.Bodies.Held())
		c.leave()
		test.Eq(t, 0, w.server.Bodies.Held())
		test.Eq(t, "a", w.backend.starts())
	})
}
