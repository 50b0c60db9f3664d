package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
)

// newQuota makes this daemon's part in counting the requests of teams.
func newQuota(s *settings.Settings, view *tables.View) *quota.Node {
	return quota.NewNode(quota.Options{
		VM: s.VM.ID, Slack: s.Teams.LimitSlack, Window: s.Teams.LimitWindow,
		Restarted: !s.Platform.FirstStart, RestartAfter: s.Platform.RestartAfter, Limit: view.TeamLimit,
	})
}

// measureQuota adds what a daemon counts of the requests of teams to its metrics. Teams are
// no labels: there may be thousands.
func measureQuota(set *metrics.Set, node *quota.Node) {
	for outcome, of := range map[string]func(quota.Stats) uint64{
		"granted": func(s quota.Stats) uint64 { return s.Granted },
		"refused": func(s quota.Stats) uint64 { return s.Refused },
		"unsure":  func(s quota.Stats) uint64 { return s.Unsure },
		"back":    func(s quota.Stats) uint64 { return s.Back },
	} {
		set.GetOrCreateGauge(`rushramp_team_tokens{outcome="`+outcome+`"}`, func() float64 { return float64(of(node.Stats())) })
	}
	set.GetOrCreateGauge("rushramp_team_questions", func() float64 { return float64(node.Stats().Asked) })
}
