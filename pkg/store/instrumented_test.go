package store

import (
	"bytes"
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/shoenig/test"
)

// failingPlatform is a Platform whose Get always returns err.
type failingPlatform struct {
	Platform
	err error
}

func (f *failingPlatform) Get(context.Context, string) (Row, error) { return Row{}, f.err }

func TestCallsAreCountedByResult(t *testing.T) {
	set := metrics.NewSet()
	for err, result := range map[error]string{
		nil: "ok", errors.Wrap(ErrNotFound, "x"): "not_found", ErrConflict: "conflict",
		ErrHistoryGone: "history_gone", context.DeadlineExceeded: "timeout", errors.New("503"): "failed",
	} {
		_, got := NewInstrumented(&failingPlatform{err: err}, set).Get(t.Context(), "k")
		test.True(t, got == err)
		var out bytes.Buffer
		set.WritePrometheus(&out)
		test.StrContains(t, out.String(), `rushramp_store_calls_total{call="get",result="`+result+`"} 1`)
	}
	test.SliceContains(t, CallCounts(set), CallCount{Name: "get/not_found", Count: 1})
}
