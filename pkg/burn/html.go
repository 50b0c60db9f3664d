package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed report.html
var pageText string

var page = template.Must(template.New("report").Parse(pageText))

// view is the data of the page template.
type view struct {
	At      string
	Samples int
	Missing []string
	Lines   []objectiveView
}

type objectiveView struct {
	ObjectiveReport
	Name  string
	State string
	// Plot is an SVG drawn by this package, so it needs no escaping.
	Plot   template.HTML
	Groups []groupView
}

type groupView struct {
	Name  string
	Parts []Contribution
}

// Percent formats Share as a percentage.
func (p Contribution) Percent() string { return fmt.Sprintf("%.0f%%", 100*p.Share) }

// Percent returns BudgetLeft in percent.
func (l objectiveView) Percent() float64 { return 100 * l.BudgetLeft }

func newView(r *Report) view {
	out := view{At: r.At.UTC().Format(time.RFC1123), Samples: r.Samples, Missing: r.Missing}
	for _, l := range r.Objectives {
		out.Lines = append(out.Lines, objectiveView{
			ObjectiveReport: l, Name: l.Objective.Service + " / " + l.Objective.Kind, State: cssClass(&l), Plot: plotBadShares(&l),
			Groups: []groupView{{"Data centre", l.DataCentres}, {"Backend server", l.Servers}, {"Outcome", l.Outcomes}},
		})
	}
	return out
}

// cssClass returns the CSS class that colours an objective's section.
func cssClass(l *ObjectiveReport) string {
	switch {
	case l.Alarm != "":
		return "alarm"
	case l.BudgetLeft < 0:
		return "over"
	}
	return "good"
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

// plotBadShares draws the share of bad calls over time next to the share that the
// objective allows. It returns an empty string when there is too little to draw
// or drawing fails.
func plotBadShares(l *ObjectiveReport) template.HTML {
	if len(l.Points) < 2 {
		return ""
	}
	p := plot.New()
	p.Y.Label.Text = "bad calls, %"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	var bad, allowed plotter.XYs
	for _, point := range l.Points {
		x := float64(point.At.Unix())
		bad = append(bad, plotter.XY{X: x, Y: 100 * point.Bad})
		allowed = append(allowed, plotter.XY{X: x, Y: 100 * (1 - l.Objective.Share)})
	}
	badLine, err := plotter.NewLine(bad)
	if err != nil {
		return ""
	}
	allowedLine, err := plotter.NewLine(allowed)
	if err != nil {
		return ""
	}
	badLine.Width = vg.Points(2)
	allowedLine.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(badLine, allowedLine)
	p.Legend.Add("bad", badLine)
	p.Legend.Add("allowed", allowedLine)
	p.Legend.Top = true
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return ""
	}
	// Drop the XML declaration, which is not allowed inside an HTML page.
	svg := out.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:]
	}
	return template.HTML(svg)
}
