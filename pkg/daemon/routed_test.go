package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestIdleBackendServerIsCheckedLessOften(t *testing.T) {
	const every = 150 * time.Millisecond
	test.Eq(t, every, healthInterval(every, 0))
	test.Eq(t, every, healthInterval(every, idleAfter))
	test.Eq(t, idleFactor*every, healthInterval(every, idleAfter+1))
}
