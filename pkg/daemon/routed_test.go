package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestAnIdleBackendServerIsAskedLessOften(t *testing.T) {
	const every = 150 * time.Millisecond
	test.Eq(t, every, healthPace(every, 0))
	test.Eq(t, every, healthPace(every, idleAfter))
	test.Eq(t, idlePace*every, healthPace(every, idleAfter+1))
}
