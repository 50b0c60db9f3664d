package ingress

import (
	"testing"

	"github.com/shoenig/test"
)

// TestARequestThatBeganBeforeTheStopIsAnsweredWithAClose, whether others
// run beside it or not.
func TestARequestThatBeganBeforeTheStopIsAnsweredWithAClose(t *testing.T) {
	for name, s := range map[string]struct{ text, id, want string }{
		"repeatable, alone":  {get("a"), "a", "a(close) end"},
		"repeatable, behind": {get("x") + get("a"), "a", "x a(close) end"},
		"other, alone":       {post("a", ""), "a", "a(close) end"},
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
				c := w.caller()
				c.send(s.text)
				w.server.StopKeepAlives()
				if name == "repeatable, behind" {
					w.backend.answer(t, "x", "")
				}
				w.backend.answer(t, s.id, "")
				test.StrHasPrefix(t, s.want[:len(s.want)-4], c.answers())
			})
		})
	}
}
