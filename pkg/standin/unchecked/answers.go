// Package unchecked holds answers with broken heads as a daemon of an earlier release, which does not
// check them, passes them on.
package unchecked

import (
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Answers returns answers that no caller may get, with the body "broken".
func Answers() []call.Answer {
	out := []call.Answer{
		{Status: 0}, {Status: 99}, {Status: 101}, {Status: 103}, {Status: 1000},
		{Status: 200, Headers: []wire.Header{{Name: "X Y", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "Content-Length ", Value: "2"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X\x01", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X", Value: "a\x01b"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X", Value: "a\r\nY: b"}}},
	}
	for i := range out {
		out[i].Body = []byte("broken")
	}
	return out
}
