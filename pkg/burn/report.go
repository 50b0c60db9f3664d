package burn

import (
	"sort"
	"time"
)

// window is a time span over which a burn rate is computed. An alarm needs a
// high rate in both windows of a pair: in the long window, because much of the
// budget is spent, and in the short one, because the errors continue. Source: "The Site
// Reliability Workbook", chapter 5.
type window struct {
	name   string
	length time.Duration
}

var windows = []window{
	{"5m", 5 * time.Minute},
	{"30m", 30 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
}

// Burn is the burn rate of one objective in one window. At a rate of 1, the
// share of bad calls is exactly what the objective permits.
type Burn struct {
	Window string `json:"window"`
	// Covers is the time between the samples used; it is shorter than Window
	// while there are too few samples.
	Covers string  `json:"covers"`
	Calls  float64 `json:"calls"`
	Bad    float64 `json:"bad"`
	Rate   float64 `json:"rate"`
}

// Contribution is what one data centre, backend server or outcome adds to the
// bad calls of an objective.
type Contribution struct {
	Name  string  `json:"name"`
	Calls float64 `json:"calls"`
	Bad   float64 `json:"bad"`
	// Share is Bad as a fraction of all bad calls of the objective.
	Share float64 `json:"share"`
}

// ObjectiveReport is the report on one objective.
type ObjectiveReport struct {
	Objective Objective `json:"objective"`
	Burns     []Burn    `json:"burns"`
	// BudgetLeft is the unspent fraction of the longest window's error budget;
	// it is negative when the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// Alarm is "fast" or "slow" when both windows of that pair burn too fast,
	// and empty otherwise.
	Alarm       string         `json:"alarm,omitempty"`
	DataCentres []Contribution `json:"data_centres"`
	Servers     []Contribution `json:"servers"`
	Outcomes    []Contribution `json:"outcomes"`
	// Points holds the share of bad calls over time, for the plot.
	Points []Point `json:"points"`
}

// Point is the share of bad calls between two samples.
type Point struct {
	At  time.Time `json:"at"`
	Bad float64   `json:"bad"`
}

// Report is the report on all objectives.
type Report struct {
	At         time.Time         `json:"at"`
	Samples    int               `json:"samples"`
	Missing    []string          `json:"missing,omitempty"`
	Causes     map[string]string `json:"causes,omitempty"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// NewReport computes the report from samples sorted oldest first.
func NewReport(objectives []Objective, samples []Sample) Report {
	out := Report{Samples: len(samples)}
	if len(samples) == 0 {
		return out
	}
	last := samples[len(samples)-1]
	out.At, out.Missing, out.Causes = last.At, last.Missing, last.Causes
	for _, o := range objectives {
		out.Objectives = append(out.Objectives, newObjectiveReport(o, samples))
	}
	return out
}

func newObjectiveReport(o Objective, samples []Sample) ObjectiveReport {
	out := ObjectiveReport{Objective: o, BudgetLeft: 1}
	last := samples[len(samples)-1]
	rates := map[string]float64{}
	var longest []CallHistogram
	for _, w := range windows {
		first := windowStart(samples, last.At.Add(-w.length))
		increased := increase(first, last)
		calls, bad := countBad(o, increased)
		b := Burn{Window: w.name, Covers: last.At.Sub(first.At).Round(time.Second).String(), Calls: calls, Bad: bad}
		if calls > 0 {
			b.Rate = bad / calls / (1 - o.Share)
		}
		rates[w.name] = b.Rate
		out.Burns = append(out.Burns, b)
		longest = increased
		out.BudgetLeft = 1 - b.Rate
	}
	out.Alarm = alarm(rates)
	out.DataCentres = contributions(o, longest, func(h *CallHistogram) string { return h.DataCentre })
	out.Servers = contributions(o, longest, func(h *CallHistogram) string { return h.Server })
	out.Outcomes = contributions(o, longest, func(h *CallHistogram) string { return h.Outcome })
	out.Points = badShares(o, samples)
	return out
}

// The burn rates above which an alarm is raised, for a budget of one month.
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

// windowStart returns the newest sample taken at or before the given time, or
// the oldest sample when all are newer.
func windowStart(samples []Sample, at time.Time) Sample {
	out := samples[0]
	for _, s := range samples {
		if !s.At.After(at) {
			out = s
		}
	}
	return out
}

// increase returns the histograms of the calls between two samples. A bucket
// whose count decreased belongs to a restarted daemon, which counts from 0
// again.
func increase(first, last Sample) []CallHistogram {
	before := map[string]map[string]float64{}
	for i := range first.Histograms {
		before[first.Histograms[i].key()] = first.Histograms[i].Buckets
	}
	var out []CallHistogram
	for i := range last.Histograms {
		h := last.Histograms[i]
		increased := map[string]float64{}
		for bound, n := range h.Buckets {
			previous := before[h.key()][bound]
			if n < previous {
				previous = 0
			}
			increased[bound] = n - previous
		}
		h.Buckets = increased
		out = append(out, h)
	}
	return out
}

func (o *Objective) matches(h *CallHistogram) bool {
	return h.Service == o.Service && h.Kind == o.Kind
}

// countBad sums the calls that the objective covers, and those of them that
// failed or took too long.
func countBad(o Objective, histograms []CallHistogram) (calls, bad float64) {
	for i := range histograms {
		if h := &histograms[i]; o.matches(h) {
			calls += h.total()
			bad += h.total() - h.within(o.Within)
		}
	}
	return calls, bad
}

// contributions groups the objective's calls by the name that by returns. The
// group with the most bad calls comes first.
func contributions(o Objective, histograms []CallHistogram, by func(*CallHistogram) string) []Contribution {
	byName := map[string]*Contribution{}
	totalBad := 0.0
	for i := range histograms {
		h := &histograms[i]
		if !o.matches(h) {
			continue
		}
		name := by(h)
		if name == "" {
			name = "none"
		}
		if byName[name] == nil {
			byName[name] = &Contribution{Name: name}
		}
		bad := h.total() - h.within(o.Within)
		byName[name].Calls += h.total()
		byName[name].Bad += bad
		totalBad += bad
	}
	out := make([]Contribution, 0, len(byName))
	for _, p := range byName {
		if totalBad > 0 {
			p.Share = p.Bad / totalBad
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

// badShares returns the share of bad calls between each two successive samples.
func badShares(o Objective, samples []Sample) []Point {
	var out []Point
	for i := 1; i < len(samples); i++ {
		calls, bad := countBad(o, increase(samples[i-1], samples[i]))
		if calls > 0 {
			out = append(out, Point{At: samples[i].At, Bad: bad / calls})
		}
	}
	return out
}
