package burn

import (
	"sort"
	"time"
)

// window is one of the pairs of windows by which a burn is judged: a short one,
// which shows that it goes on, and a long one, which shows that it matters.
// Source: "The Site Reliability Workbook", chapter 5.
type window struct {
	name string
	long time.Duration
}

var windows = []window{
	{"5m", 5 * time.Minute},
	{"30m", 30 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
}

// Burn is how fast one objective's budget burns in one window. A rate of 1
// spends exactly the budget.
type Burn struct {
	Window string  `json:"window"`
	Covers string  `json:"covers"`
	Calls  float64 `json:"calls"`
	Bad    float64 `json:"bad"`
	Rate   float64 `json:"rate"`
}

// Contribution is what one place contributes to the bad calls of an objective.
type Contribution struct {
	Name  string  `json:"name"`
	Calls float64 `json:"calls"`
	Bad   float64 `json:"bad"`
	// Share is its part of the objective's bad calls.
	Share float64 `json:"share"`
}

// ObjectiveReport is the report on one objective.
type ObjectiveReport struct {
	Objective Objective `json:"objective"`
	Burns     []Burn    `json:"burns"`
	// BudgetLeft is the share of the longest window's budget that is unspent.
	BudgetLeft float64 `json:"budget_left"`
	// Alarm is set when both windows of a pair burn fast.
	Alarm       string         `json:"alarm,omitempty"`
	DataCentres []Contribution `json:"data_centres"`
	Servers     []Contribution `json:"servers"`
	Outcomes    []Contribution `json:"outcomes"`
	// Points are bad shares over time, for the plot.
	Points []Point `json:"points"`
}

// Point is the share of bad calls between two samples.
type Point struct {
	At  time.Time `json:"at"`
	Bad float64   `json:"bad"`
}

// Report is the whole report.
type Report struct {
	At         time.Time         `json:"at"`
	Samples    int               `json:"samples"`
	Missing    []string          `json:"missing,omitempty"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// NewReport reports on the samples, oldest first.
func NewReport(objectives []Objective, samples []Sample) Report {
	out := Report{Samples: len(samples)}
	if len(samples) == 0 {
		return out
	}
	last := samples[len(samples)-1]
	out.At, out.Missing = last.At, last.Missing
	for _, o := range objectives {
		out.Objectives = append(out.Objectives, makeLine(o, samples))
	}
	return out
}

func makeLine(o Objective, samples []Sample) ObjectiveReport {
	out := ObjectiveReport{Objective: o, BudgetLeft: 1}
	last := samples[len(samples)-1]
	rates := map[string]float64{}
	var widest []CallHistogram
	for _, w := range windows {
		first := firstOf(samples, last.At.Add(-w.long))
		grown := growth(first, last)
		calls, bad := judge(o, grown)
		b := Burn{Window: w.name, Covers: last.At.Sub(first.At).Round(time.Second).String(), Calls: calls, Bad: bad}
		if calls > 0 {
			b.Rate = bad / calls / (1 - o.Share)
		}
		rates[w.name] = b.Rate
		out.Burns = append(out.Burns, b)
		widest = grown
		out.BudgetLeft = 1 - b.Rate
	}
	out.Alarm = alarm(rates)
	out.DataCentres = parts(o, widest, func(c *CallHistogram) string { return c.DataCentre })
	out.Servers = parts(o, widest, func(c *CallHistogram) string { return c.Server })
	out.Outcomes = parts(o, widest, func(c *CallHistogram) string { return c.Outcome })
	out.Points = points(o, samples)
	return out
}

// The burn rates at which an alarm is raised, for a month's budget.
const (
	fastBurn = 14.4
	slowBurn = 6
)

func alarm(rates map[string]float64) string {
	switch {
	case rates["5m"] > fastBurn && rates["1h"] > fastBurn:
		return "fast"
	case rates["30m"] > slowBurn && rates["6h"] > slowBurn:
		return "slow"
	}
	return ""
}

// firstOf is the newest sample that is at least as old as a moment, or the
// oldest there is.
func firstOf(samples []Sample, at time.Time) Sample {
	out := samples[0]
	for _, s := range samples {
		if !s.At.After(at) {
			out = s
		}
	}
	return out
}

// growth is what was counted between two samples. A count that fell belongs to
// a daemon that was started again: it began anew from 0.
func growth(first, last Sample) []CallHistogram {
	before := map[string]map[string]float64{}
	for i := range first.Histograms {
		before[first.Histograms[i].key()] = first.Histograms[i].Buckets
	}
	var out []CallHistogram
	for i := range last.Histograms {
		c := last.Histograms[i]
		grown := map[string]float64{}
		for bound, n := range c.Buckets {
			was := before[c.key()][bound]
			if n < was {
				was = 0
			}
			grown[bound] = n - was
		}
		c.Buckets = grown
		out = append(out, c)
	}
	return out
}

func (o *Objective) covers(c *CallHistogram) bool {
	return c.Service == o.Service && c.Kind == o.Kind
}

func judge(o Objective, counts []CallHistogram) (calls, bad float64) {
	for i := range counts {
		if c := &counts[i]; o.covers(c) {
			calls += c.total()
			bad += c.total() - c.within(o.Within)
		}
	}
	return calls, bad
}

func parts(o Objective, counts []CallHistogram, by func(*CallHistogram) string) []Contribution {
	found := map[string]*Contribution{}
	all := 0.0
	for i := range counts {
		c := &counts[i]
		if !o.covers(c) {
			continue
		}
		name := by(c)
		if name == "" {
			name = "none"
		}
		if found[name] == nil {
			found[name] = &Contribution{Name: name}
		}
		bad := c.total() - c.within(o.Within)
		found[name].Calls += c.total()
		found[name].Bad += bad
		all += bad
	}
	out := make([]Contribution, 0, len(found))
	for _, p := range found {
		if all > 0 {
			p.Share = p.Bad / all
		}
		out = append(out, *p)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Bad != out[j].Bad {
			return out[i].Bad > out[j].Bad
		}
		return out[i].Name < out[j].Name
	})
	return out
}

func points(o Objective, samples []Sample) []Point {
	var out []Point
	for i := 1; i < len(samples); i++ {
		calls, bad := judge(o, growth(samples[i-1], samples[i]))
		if calls > 0 {
			out = append(out, Point{At: samples[i].At, Bad: bad / calls})
		}
	}
	return out
}
