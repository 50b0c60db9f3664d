// Package common holds the dependencies that most parts of a daemon share, in one struct
// that these parts embed.
package common

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/clock"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/measure"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/retries"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/traffic"
)

// Common holds the shared dependencies of one daemon.
type Common struct {
	Log      *events.Log
	Settings *settings.Settings
	Metrics  *metrics.Set
	// Measure limits the bytes for load reports.
	Measure *measure.Budget
	// Traffic counts the frames and bytes sent to other daemons.
	Traffic *traffic.Counters
	// Bodies limits the memory for request bodies.
	Bodies *bodies.Budget
	// Quarantine holds the requests that made backend servers end.
	Quarantine *quarantine.Table
	// Quota enforces the limits of teams; nil on a daemon that takes no routed requests.
	Quota *quota.Node
	// Retries gives retries from the slack that groups of daemons share.
	Retries *retries.Pool
	// Clock is the clock that Now reads.
	Clock *clock.Clock
}

// NewCommon returns the shared dependencies of one daemon, without Quota.
func NewCommon(log *events.Log, s *settings.Settings) *Common {
	set := metrics.NewSet()
	return &Common{
		Log: log, Settings: s, Metrics: set,
		Measure: measure.NewBudget(s.Measurement, set),
		Traffic: traffic.NewCounters(set),
		Bodies:  bodies.NewBudget(s.Limits.BodiesBytes, set),
		Clock:   clock.New(),
		Retries: retries.NewPool(s.Routing.RetryWindow, !s.Platform.FirstStart, rand.Float64),

		Quarantine: quarantine.NewTable(),
	}
}

// Location returns the data centre and the region of the daemon.
func (c *Common) Location() proximity.Location {
	return proximity.Location{DataCentre: c.Settings.VM.DataCentre, Region: c.Settings.VM.Region}
}

// Now returns the time since the daemon's start in nanoseconds, by a monotonic clock that
// includes the time for which the VM was suspended. It is never 0, which means "not yet"
// in the tables.
func (c *Common) Now() int64 { return c.Clock.Now() + 1 }

// Suspended returns the total time for which the VM was suspended since the daemon's
// start.
func (c *Common) Suspended() time.Duration { return c.Clock.Suspended() }
