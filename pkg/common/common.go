// Package common holds the dependencies that most parts of the daemon share.
// They travel in one small struct that is embedded by those who need it.
package common

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/clock"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/measure"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/traffic"
)

// Common is the shared dependencies.
type Common struct {
	Log      *events.Log
	Settings *settings.Settings
	Metrics  *metrics.Set
	Measure  *measure.Budget
	// Traffic accounts for what is sent to other daemons.
	Traffic *traffic.Counters
	// Bodies bounds what bodies of requests hold.
	Bodies *bodies.Budget
	// Quarantine remembers which requests ended backend servers.
	Quarantine *quarantine.Table
	// Quota counts the requests of teams; nil on a daemon that takes no routed requests.
	Quota *quota.Node
	// Clock is that of Now.
	Clock *clock.Clock
}

// NewCommon makes the shared dependencies of one daemon.
func NewCommon(log *events.Log, s *settings.Settings) *Common {
	set := metrics.NewSet()
	return &Common{
		Log: log, Settings: s, Metrics: set,
		Measure: measure.NewBudget(s.Measurement, set),
		Traffic: traffic.NewCounters(set),
		Bodies:  bodies.NewBudget(s.Limits.BodiesBytes, set),
		Clock:   clock.New(),

		Quarantine: quarantine.NewTable(),
	}
}

// Location is where the daemon stands.
func (c *Common) Location() proximity.Location {
	return proximity.Location{DataCentre: c.Settings.VM.DataCentre, Region: c.Settings.VM.Region}
}

// Now is the time since the daemon's start in nanoseconds, on a clock that never jumps
// back and counts the time for which the VM was suspended. It is never 0, which stands
// for "not yet" in the tables.
func (c *Common) Now() int64 { return c.Clock.Now() + 1 }

// Suspended is for how long the VM has been suspended since the daemon's start.
func (c *Common) Suspended() time.Duration { return c.Clock.Suspended() }
