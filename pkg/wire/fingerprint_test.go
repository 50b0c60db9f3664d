package wire

import (
	"testing"

	"github.com/shoenig/test"
)

// TestATryAgainHasTheSameFingerprint: ids, deadlines, daemons and the client's own
// headers differ, the caller and the work do not.
func TestATryAgainHasTheSameFingerprint(t *testing.T) {
	first := Call{Method: "POST", URI: "/a?b", Headers: []Header{{Name: "Cookie", Value: "c"}, {Name: "authorization", Value: "one"}, {Name: "User-Agent", Value: "x/1"}}, Routed: Routed{ID: "1", Host: "h", Caller: "s"}}
	again := Call{Method: "POST", URI: "/a?b", Headers: []Header{{Name: "User-Agent", Value: "x/2"}, {Name: "Authorization", Value: "one"}, {Name: "Cookie", Value: "c"}}, Routed: Routed{ID: "2", Host: "h", Caller: "t"}}
	other := again
	other.Headers = []Header{{Name: "Authorization", Value: "two"}}
	test.Eq(t, first.Fingerprint([]byte("body")), again.Fingerprint([]byte("body")))
	test.NotEq(t, again.Fingerprint(nil), other.Fingerprint(nil))
	test.NotEq(t, again.Fingerprint(nil), again.Fingerprint([]byte("body")))
}
