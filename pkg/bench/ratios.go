package bench

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// ratioTable shows policies beside each other. The first policy is what the
// others are compared with. Of several seeds it shows the median: one seed's
// p99 on a busy machine may be anything.
type ratioTable struct {
	policies []string
	reports  map[string][]*Report
}

func newRatioTable(policies []string) *ratioTable {
	return &ratioTable{policies: policies, reports: map[string][]*Report{}}
}

func (rt *ratioTable) add(policy string, r *Report) {
	rt.reports[policy] = append(rt.reports[policy], r)
}

// median is that of a figure over the seeds of a policy.
func (rt *ratioTable) median(policy string, figure func(*Report) float64) float64 {
	var values []float64
	for _, r := range rt.reports[policy] {
		values = append(values, figure(r))
	}
	sort.Float64s(values)
	if len(values) == 0 {
		return 0
	}
	return values[len(values)/2]
}

// medianRatio is the median over the seeds of a policy's figure over the first
// policy's of the same seed.
func (rt *ratioTable) medianRatio(policy string, figure func(*Report) float64) float64 {
	var values []float64
	base := rt.reports[rt.policies[0]]
	for i, r := range rt.reports[policy] {
		values = append(values, figure(r)/max(figure(base[i]), 1))
	}
	sort.Float64s(values)
	return values[len(values)/2]
}

func (rt *ratioTable) print(out io.Writer, name string, seeds int) {
	fmt.Fprintf(out, "%s, median of %d seeds; ratios to %s of the same seed\n", name, seeds, rt.policies[0])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\twait p50 ms\twait p99 ms\twait p99.9 ms\tp99 ratio\tp99.9 ratio\trefusals\tretries\thedges\tnot run\tfailed\tbytes/s\tbroken\t")
	for _, policy := range rt.policies {
		at := func(figure func(*Report) float64) float64 { return rt.median(policy, figure) }
		broken := 0
		for _, r := range rt.reports[policy] {
			broken += r.TotalViolations()
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t\n", policy,
			at(waitP50)/1000, at(waitP99)/1000, at(waitP999)/1000,
			rt.medianRatio(policy, waitP99), rt.medianRatio(policy, waitP999),
			at(func(r *Report) float64 { return r.Refusals }), at(func(r *Report) float64 { return r.Retries }),
			at(func(r *Report) float64 { return r.Hedges }), at(func(r *Report) float64 { return float64(r.RefusedNotRun) }),
			at(func(r *Report) float64 { return float64(r.Failed) }),
			at(func(r *Report) float64 { return r.MeasureBytes }), broken)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

func waitP50(r *Report) float64  { return float64(r.WaitP50) }
func waitP99(r *Report) float64  { return float64(r.WaitP99) }
func waitP999(r *Report) float64 { return float64(r.WaitP999) }
