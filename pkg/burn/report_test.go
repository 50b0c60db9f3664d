package burn

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func histogram(server, outcome string, fast, slow float64) CallHistogram {
	return CallHistogram{
		Service: "glyphserve", Kind: "subset", DataCentre: "dc-" + server, Server: server, Outcome: outcome,
		Buckets: map[string]float64{"1.000e-02": fast, "1.000e+00": slow},
	}
}

func objective() []Objective {
	return []Objective{{Service: "glyphserve", Kind: "subset", Within: 50 * time.Millisecond, Share: 0.99}}
}

func TestReportAttributesBadCallsToTheirSource(t *testing.T) {
	samples := []Sample{
		{At: start, Histograms: []CallHistogram{histogram("a", answered, 100, 0), histogram("b", answered, 100, 0)}},
		{At: start.Add(4 * time.Minute), Histograms: []CallHistogram{histogram("a", answered, 1000, 0), histogram("b", answered, 700, 200), histogram("b", "overloaded", 100, 0)}},
	}
	line := NewReport(objective(), samples).Objectives[0]
	// Server a answers 900 calls. Server b answers 800, of which 200 are slow, and
	// refuses 100.
	burn := line.Burns[0]
	test.Eq(t, 1800, burn.Calls)
	test.Eq(t, 300, burn.Bad)
	test.InDelta(t, 300.0/1800/0.01, burn.Rate, 1e-9)
	test.Eq(t, "4m0s", burn.Covers)
	test.Eq(t, "fast", line.Alarm)
	test.Eq(t, "b", line.Servers[0].Name)
	test.Eq(t, 1, line.Servers[0].Share)
	test.Eq(t, "dc-b", line.DataCentres[0].Name)
	test.Eq(t, "overloaded", line.Outcomes[1].Name)
	test.Negative(t, line.BudgetLeft)
}

func TestRestartedDaemonCountsFromZero(t *testing.T) {
	samples := []Sample{
		{At: start, Histograms: []CallHistogram{histogram("a", answered, 1000, 50)}},
		{At: start.Add(time.Minute), Histograms: []CallHistogram{histogram("a", answered, 10, 1)}},
	}
	burn := NewReport(objective(), samples).Objectives[0].Burns[0]
	test.Eq(t, 11, burn.Calls)
	test.Eq(t, 1, burn.Bad)
}

func TestParseDaemonMetrics(t *testing.T) {
	text := `rushramp_served_seconds_bucket{service="s",kind="k",data_centre="d",server="vm",outcome="answered",vmrange="4.084e-03...4.642e-03"} 7
rushramp_served_seconds_bucket{service="s",kind="k",data_centre="d",server="vm",outcome="answered",vmrange="1.000e-01...1.136e-01"} 2
rushramp_served_seconds_sum{service="s",kind="k",data_centre="d",server="vm",outcome="answered"} 1.5
process_start_time_seconds 1700000000
`
	counts, started, err := parseMetrics(strings.NewReader(text))
	must.NoError(t, err)
	must.Len(t, 1, counts)
	test.Eq(t, 9, counts[0].total())
	test.Eq(t, 7, counts[0].within(50*time.Millisecond))
	test.Eq(t, 1700000000, started)
}
