package callers

import (
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/standin/unchecked"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestAnAnswerWithABrokenHeadIsNotPassedOn although a daemon of an earlier release let it through,
// or has stored it under a key.
func TestAnAnswerWithABrokenHeadIsNotPassedOn(t *testing.T) {
	for _, answer := range unchecked.Answers() {
		c := app.NewContext(0)
		(&Server{}).writeResult(c, call.Result{Answer: &answer})
		test.Eq(t, http.StatusBadGateway, c.Response.StatusCode(), test.Sprint(answer))
		test.Eq(t, "maybe", string(c.Response.Header.Peek(HeaderRan)), test.Sprint(answer))
		test.StrNotContains(t, string(c.Response.Body()), "broken", test.Sprint(answer))
	}
	c := app.NewContext(0)
	(&Server{}).writeResult(c, call.Result{Answer: &call.Answer{Status: 201, Headers: []wire.Header{{Name: "X-Y", Value: "Größe\tz"}}, Body: []byte("whole")}})
	test.Eq(t, http.StatusCreated, c.Response.StatusCode())
	test.Eq(t, "Größe\tz", string(c.Response.Header.Peek("X-Y")))
	test.Eq(t, "whole", string(c.Response.Body()))
}
