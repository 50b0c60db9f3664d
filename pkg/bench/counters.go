package bench

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds totals over all daemons at one moment.
type counters struct {
	at              time.Time
	retries         uint64
	softRefusals    uint64
	hedges          uint64
	measureBytes    int64
	measureMessages int64
	budgetOverruns  int64
	storeReads      int64
	storeWrites     int64
	addedP99        time.Duration
}

func (c *cluster) counters() counters {
	out := counters{at: time.Now(), storeReads: c.store.Reads(), storeWrites: c.store.Writes()}
	added := metrics.NewSet().NewHistogram("added")
	for _, n := range c.nodes {
		counts := n.daemon.Entry.Counts()
		out.retries += counts.Retries
		out.softRefusals += counts.SoftRefusals
		out.hedges += counts.Hedges
		budget := n.daemon.Measure.Usage()
		out.measureBytes += budget.Bytes
		out.budgetOverruns += budget.Overruns
		added.Merge(n.daemon.Entry.AddedLatency())
	}
	out.addedP99 = quantile(added, 0.99)
	return out
}

// quantile estimates a quantile from a histogram's buckets. It returns the
// upper bound of the bucket.
func quantile(h *metrics.Histogram, q float64) time.Duration {
	type bucket struct {
		upper float64
		count uint64
	}
	var buckets []bucket
	total := uint64(0)
	h.VisitNonZeroBuckets(func(vmrange string, count uint64) {
		_, upper, _ := strings.Cut(vmrange, "...")
		// Every bound of the library parses, "+Inf" too.
		bound, err := strconv.ParseFloat(upper, 64)
		if err != nil {
			return
		}
		buckets = append(buckets, bucket{bound, count})
		total += count
	})
	seen := uint64(0)
	for _, b := range buckets {
		seen += b.count
		if float64(seen) >= q*float64(total) {
			return time.Duration(b.upper * float64(time.Second))
		}
	}
	return 0
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureIdleCPU returns the CPU time that each daemon uses without calls, in
// percent of a core.
func measureIdleCPU(c *cluster, window time.Duration) float64 {
	began, used := time.Now(), processCPUTime()
	time.Sleep(window)
	share := (processCPUTime() - used).Seconds() / time.Since(began).Seconds()
	return 100 * share / float64(len(c.nodes))
}

// residentMB returns the resident memory of this process in MiB; 0 when it is
// unknown.
func residentMB() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return float64(pages*int64(os.Getpagesize())) / (1 << 20)
}
