package bench

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/standin/backend"
)

// A never-repeat call that is sent again may get the stored answer of an
// earlier attempt. checkBody once reported that answer, which is shorter than
// the one of the second attempt, as truncated.
func TestCheckBodyAcceptsAnswerOfEarlierAttempt(t *testing.T) {
	kind := &Kind{AnswerBytes: 200}
	scenarios := []struct {
		name               string
		attempt            int
		body               string
		crossed, truncated bool
	}{
		{"own answer", 0, string(backend.AnswerBody("c1", 200, nil)), false, false},
		{"own answer to the second attempt", 1, string(backend.AnswerBody("c1.1", 200, nil)), false, false},
		{"own answer to the first attempt", 1, string(backend.AnswerBody("c1", 200, nil)), false, false},
		{"another call's answer", 0, string(backend.AnswerBody("c2", 200, nil)), true, false},
		{"part of the own answer", 0, string(backend.AnswerBody("c1", 200, nil)[:50]), false, true},
		{"empty answer", 1, "", false, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			o := &outcome{arrival: &arrival{id: "c1", kind: kind, attempt: s.attempt}, entry: &node{}}
			o.checkBody([]byte(s.body))
			test.Eq(t, s.crossed, o.crossed)
			test.Eq(t, s.truncated, o.truncated)
		})
	}
}
