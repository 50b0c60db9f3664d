package burn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test"
)

const servedLine = `rushramp_served_seconds_bucket{service="s",kind="k",data_centre="d",server="vm",outcome="answered",vmrange="4.084e-03...4.642e-03"} 7` + "\n"

// TestDaemonsWithoutWholeMetricsAreMissing guards against reports that take an error page or the
// first part of a page for the counts of a daemon.
func TestDaemonsWithoutWholeMetricsAreMissing(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		missing bool
	}{
		"whole": {handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, servedLine) }},
		"status 503": {missing: true, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, servedLine)
		}},
		"cut off": {missing: true, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100000")
			_, _ = io.WriteString(w, servedLine)
		}},
		"a line that is too long": {missing: true, handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, servedLine+strings.Repeat("x", maxLineBytes+1)+"\n"+servedLine)
		}},
		"a count that is no number": {missing: true, handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, servedLine+strings.Replace(servedLine, "} 7", "} seven", 1))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			daemon := httptest.NewServer(c.handler)
			defer daemon.Close()
			address := strings.TrimPrefix(daemon.URL, "http://")
			s := TakeSample([]string{address}, start)
			if c.missing {
				test.Eq(t, []string{address}, s.Missing)
				test.StrContains(t, s.Causes[address], "metrics")
				test.SliceEmpty(t, s.Histograms)
				test.MapEmpty(t, s.StartTimes)
				return
			}
			test.SliceEmpty(t, s.Missing)
			test.SliceLen(t, 1, s.Histograms)
		})
	}
}
