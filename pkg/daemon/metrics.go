package daemon

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/rushramp/rushramp/pkg/httpserver"
)

// startMetrics serves metrics, health and readiness at settings listen.metrics until stop
// is called.
func startMetrics(d *Daemon) (stop func(), err error) {
	d.registerGauges()
	return httpserver.Start(d.Settings.Listen.Metrics, d.newProbeTable("metrics"), func(h *server.Hertz) {
		h.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
			var out bytes.Buffer
			d.Metrics.WritePrometheus(&out)
			metrics.WriteProcessMetrics(&out)
			c.Data(http.StatusOK, "text/plain; version=0.0.4", out.Bytes())
		})
		h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
		h.GET("/readyz", func(_ context.Context, c *app.RequestContext) { d.serveReady(c) })
	})
}

// serveReady answers 200 if this daemon accepts calls, and 503 with the reason otherwise.
func (d *Daemon) serveReady(c *app.RequestContext) {
	switch {
	case d.World.View.Leaving():
		c.String(http.StatusServiceUnavailable, "leaving\n")
	case !d.World.View.Ready():
		c.String(http.StatusServiceUnavailable, "no placement or no list of members yet\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

// registerGauges registers the gauges whose values are computed when the metrics are read.
func (d *Daemon) registerGauges() {
	d.Metrics.NewGauge("rushramp_placement_version", func() float64 {
		if p := d.World.View.Placement(); p != nil {
			return float64(p.Version)
		}
		return 0
	})
	d.Metrics.NewGauge("rushramp_placement_age_seconds", d.placementAge)
	d.Metrics.NewGauge("rushramp_log_lines_left_out", func() float64 { return float64(d.Log.Dropped()) })
	d.Metrics.NewGauge("rushramp_members", func() float64 { return float64(d.World.View.MemberCount()) })
	d.Metrics.NewGauge("rushramp_placement_unsure", func() float64 { return boolToFloat(d.World.View.PlacementUnsure()) })
	d.Metrics.NewGauge("rushramp_store_stale", func() float64 { return boolToFloat(d.World.View.StoreStale()) })
	d.Metrics.NewGauge("rushramp_leaving", func() float64 { return boolToFloat(d.World.View.Leaving()) })
	d.Metrics.NewGauge("rushramp_departures_unstored", func() float64 { return float64(d.env.UnstoredDepartures()) })
	if d.Executor == nil {
		return
	}
	d.Metrics.NewGauge("rushramp_gate_in_flight", func() float64 { return float64(d.Executor.Gate().InFlight()) })
	d.Metrics.NewGauge("rushramp_gate_limit", func() float64 { return float64(d.Executor.Stamp().Limit) })
}

// placementAge returns for how many seconds the placement version has been in force; 0 if
// none is.
func (d *Daemon) placementAge() float64 {
	at := d.World.View.PlacementSince()
	if at.IsZero() {
		return 0
	}
	return time.Since(at).Seconds()
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
