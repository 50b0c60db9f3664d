package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestALateWordThatAPartIsBackSaysNothing: it answers a question from before the part was
// lent there again.
func TestALateWordThatAPartIsBackSaysNothing(t *testing.T) {
	all := func(string) bool { return true }
	l := &lending{}
	const second = int64(time.Second)
	counter, does := l.next(1, 5*second, "a", all)
	test.Eq(t, "a", counter)
	test.Eq(t, lends, does)
	l.lend(1, leaseLeast)
	_, does = l.next(10, 5*second, "b", all)
	test.Eq(t, releases, does)
	const askedBack = 10
	l.lend(20, leaseLeast)
	l.back(30, "a", askedBack)
	counter, does = l.next(31, 5*second, "b", all)
	test.Eq(t, "a", counter)
	test.Eq(t, releases, does)
	l.back(40, "a", 31)
	counter, does = l.next(41, 5*second, "b", all)
	test.Eq(t, "b", counter)
	test.Eq(t, lends, does)
}
