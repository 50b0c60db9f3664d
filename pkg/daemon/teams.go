package daemon

import (
	"time"

	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
)

// newQuota makes this daemon's part in counting the requests of teams.
func newQuota(s *settings.Settings, view *tables.View) *quota.Node {
	var lentBefore time.Duration
	if !s.Platform.FirstStart {
		lentBefore = max(quota.Lease-s.Platform.RestartAfter, 0)
	}
	return quota.NewNode(quota.Options{
		Self: s.VM.ID, Slack: s.Teams.LimitSlack, Window: s.Teams.LimitWindow,
		LentBefore: lentBefore, Limit: view.LimitOf,
	})
}
