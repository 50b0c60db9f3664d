package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
)

// newQuota returns the node that enforces the limits of teams at this daemon.
func newQuota(s *settings.Settings, view *tables.View) *quota.Node {
	return quota.NewNode(quota.Options{
		VM: s.VM.ID, Slack: s.Teams.LimitSlack, Window: s.Teams.LimitWindow,
		Restarted: !s.Platform.FirstStart, RestartAfter: s.Platform.RestartAfter, Limit: view.TeamLimit,
		ScheduleReturns: s.Teams.ScheduleReturns,
	})
}

// registerQuotaMetrics registers gauges for the counters of a quota node. They have no label
// for the team, because there may be thousands of teams.
func registerQuotaMetrics(set *metrics.Set, node *quota.Node) {
	for outcome, read := range map[string]func(quota.Stats) uint64{
		"granted": func(s quota.Stats) uint64 { return s.Granted },
		"refused": func(s quota.Stats) uint64 { return s.Refused },
		"unsure":  func(s quota.Stats) uint64 { return s.Unsure },
		"back":    func(s quota.Stats) uint64 { return s.Back },
	} {
		set.GetOrCreateGauge(`rushramp_team_tokens{outcome="`+outcome+`"}`, func() float64 { return float64(read(node.Stats())) })
	}
	for outcome, read := range map[string]func(quota.Stats) uint64{
		"reserved":    func(s quota.Stats) uint64 { return s.ReturnsReserved },
		"longest":     func(s quota.Stats) uint64 { return s.ReturnsLongest },
		"unreachable": func(s quota.Stats) uint64 { return s.ReturnsUnreachable },
		"used":        func(s quota.Stats) uint64 { return s.ReturnsUsed },
		"unused":      func(s quota.Stats) uint64 { return s.ReturnsUnused },
	} {
		set.GetOrCreateGauge(`rushramp_team_returns{outcome="`+outcome+`"}`, func() float64 { return float64(read(node.Stats())) })
	}
	set.GetOrCreateGauge("rushramp_team_requests_deferred", func() float64 { return float64(node.Stats().Deferred) })
	set.GetOrCreateGauge("rushramp_team_questions", func() float64 { return float64(node.Stats().Asked) })
}
