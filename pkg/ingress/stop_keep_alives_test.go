package ingress

import (
	"testing"

	"github.com/shoenig/test"
)

// TestRunningRequestIsAnsweredWithAClose: StopKeepAlives also applies to requests that are
// running when it is called.
func TestRunningRequestIsAnsweredWithAClose(t *testing.T) {
	for name, s := range map[string]struct{ text, id, want string }{
		"repeatable, alone":          {get("a"), "a", "a(close) end"},
		"repeatable, behind another": {get("x") + get("a"), "a", "x a(close) end"},
		"not repeatable, alone":      {post("a", ""), "a", "a(close) end"},
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
				c := env.caller()
				c.send(s.text)
				env.server.StopKeepAlives()
				if name == "repeatable, behind another" {
					env.backend.answer(t, "x", "")
				}
				env.backend.answer(t, s.id, "")
				test.StrHasPrefix(t, s.want[:len(s.want)-4], c.answers())
			})
		})
	}
}
