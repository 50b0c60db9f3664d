package bench

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// ratioTable compares policies with the first one. With several seeds it shows
// the median, because the p99 of a single seed is unreliable on a busy machine.
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

// median returns the median of a policy's figure over all seeds; 0 when there
// are no reports.
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

// medianRatio returns the median over the seeds of the ratio between a policy's
// figure and the first policy's with the same seed.
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
	fmt.Fprintln(w, "policy\twait p50 ms\twait p99 ms\twait p99.9 ms\tp99 ratio\tp99.9 ratio\trefusals\tretries\thedges\tnot run\tfailed\tbytes/s\tviolations\t")
	for _, policy := range rt.policies {
		median := func(figure func(*Report) float64) float64 { return rt.median(policy, figure) }
		violations := 0
		for _, r := range rt.reports[policy] {
			violations += r.TotalViolations()
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t\n", policy,
			median(waitP50)/1000, median(waitP99)/1000, median(waitP999)/1000,
			rt.medianRatio(policy, waitP99), rt.medianRatio(policy, waitP999),
			median(func(r *Report) float64 { return r.Refusals }), median(func(r *Report) float64 { return r.Retries }),
			median(func(r *Report) float64 { return r.Hedges }), median(func(r *Report) float64 { return float64(r.RefusedNotRun) }),
			median(func(r *Report) float64 { return float64(r.Failed) }),
			median(func(r *Report) float64 { return r.MeasureBytes }), violations)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

func waitP50(r *Report) float64  { return float64(r.WaitP50) }
func waitP99(r *Report) float64  { return float64(r.WaitP99) }
func waitP999(r *Report) float64 { return float64(r.WaitP999) }
