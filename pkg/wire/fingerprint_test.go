package wire

import (
	"testing"

	"github.com/shoenig/test"
)

// TestRetryHasTheSameFingerprint checks that only the request itself and the caller's
// credentials determine the fingerprint, not the request id, the calling service or other
// headers.
func TestRetryHasTheSameFingerprint(t *testing.T) {
	first := Call{Method: "POST", URI: "/a?b", Headers: []Header{{Name: "Cookie", Value: "c"}, {Name: "authorization", Value: "one"}, {Name: "User-Agent", Value: "x/1"}}, Routed: Routed{ID: "1", Host: "h", Caller: "s"}}
	retry := Call{Method: "POST", URI: "/a?b", Headers: []Header{{Name: "User-Agent", Value: "x/2"}, {Name: "Authorization", Value: "one"}, {Name: "Cookie", Value: "c"}}, Routed: Routed{ID: "2", Host: "h", Caller: "t"}}
	otherCaller := retry
	otherCaller.Headers = []Header{{Name: "Authorization", Value: "two"}}
	test.Eq(t, first.Fingerprint([]byte("body")), retry.Fingerprint([]byte("body")))
	test.NotEq(t, retry.Fingerprint(nil), otherCaller.Fingerprint(nil))
	test.NotEq(t, retry.Fingerprint(nil), retry.Fingerprint([]byte("body")))
}
