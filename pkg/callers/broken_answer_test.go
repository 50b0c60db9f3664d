package callers

import (
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestAnAnswerWithABrokenHeadIsNotPassedOn although a daemon of an earlier release let it through,
// or has stored it under a key.
func TestAnAnswerWithABrokenHeadIsNotPassedOn(t *testing.T) {
	for _, answer := range []call.Answer{
		{Status: 0}, {Status: 99}, {Status: 101}, {Status: 103}, {Status: 1000},
		{Status: 200, Headers: []wire.Header{{Name: "X Y", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "Content-Length ", Value: "2"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X\x01", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X", Value: "a\x01b"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X", Value: "a\r\nY: b"}}},
	} {
		answer.Body = []byte("broken")
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
