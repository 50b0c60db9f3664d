package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/store"
)

// series is a measured value at several sizes, with a linear fit. The figures
// in docs/CAPACITY.md are computed from these fits.
type series struct {
	name     string
	unit     string
	sizeUnit string
	// sizes and values are the coordinates of the points; sizes are in
	// sizeUnit, values in unit.
	sizes  []float64
	values []float64
}

func (s *series) add(size, value float64) {
	s.sizes = append(s.sizes, size)
	s.values = append(s.values, value)
}

// fit returns the least-squares line through the points, and the largest
// residual as a share of the largest value, which shows the noise.
func (s *series) fit() (intercept, slope, maxResidual float64) {
	n := float64(len(s.sizes))
	var sx, sy, sxx, sxy, maxValue float64
	for i, x := range s.sizes {
		y := s.values[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
		maxValue = math.Max(maxValue, math.Abs(y))
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	for i, x := range s.sizes {
		maxResidual = math.Max(maxResidual, math.Abs(s.values[i]-intercept-slope*x))
	}
	if maxValue > 0 {
		maxResidual /= maxValue
	}
	return intercept, slope, maxResidual
}

func (s *series) print(w io.Writer) {
	intercept, slope, maxResidual := s.fit()
	points := ""
	for i, x := range s.sizes {
		points += fmt.Sprintf("%g:%.4g ", x, s.values[i])
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g per %s\t%.0f%%\t\n", s.name, s.unit, points, intercept, slope, s.sizeUnit, 100*maxResidual)
}

func printSlopes(out io.Writer, slopes []*series) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "figure\tunit\tpoints (size:value)\tbase\tslope\tmax residual\t")
	for _, s := range slopes {
		s.print(w)
	}
	_ = w.Flush()
}

func slopesCommand() *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:       "slopes daemons|members|services|changes|calls|claims",
		Short:     "Measure how the control-plane cost grows, for docs/CAPACITY.md",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"daemons", "members", "services", "changes", "calls", "claims"},
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.withProfile(func() error { return runSlopes(cmd.OutOrStdout(), args[0]) })
		},
	}
	f.register(cmd)
	return cmd
}

func runSlopes(out io.Writer, dimension string) error {
	measures := map[string]func() ([]*series, error){
		"daemons":  measureDaemons,
		"members":  measureMembers,
		"services": measureServices,
		"changes":  measureChanges,
		"calls":    measureCalls,
		"claims":   measureClaims,
	}
	slopes, err := measures[dimension]()
	if err != nil {
		return err
	}
	printSlopes(out, slopes)
	return nil
}

// controlWindow is how long the control-plane cost is measured at each point.
const controlWindow = 4 * time.Second

// daemonsOnly returns a deployment of daemons without backend servers or load.
func daemonsOnly(daemons, dataCentres, services int) *Deployment {
	d := &Deployment{Name: "bare", Slots: 12, Connections: 200, ExtraEntries: daemons, TimeScale: 1}
	for i := range dataCentres {
		d.DataCentres = append(d.DataCentres, fmt.Sprintf("dc-%02d", i))
	}
	for i := range services {
		d.Services = append(d.Services, Service{Name: fmt.Sprintf("service-%03d", i), Kinds: exampleKinds(d.DataCentres)})
	}
	return d
}

// exampleKinds returns three kinds for a service.
func exampleKinds(dataCentres []string) []Kind {
	var out []Kind
	for _, name := range []string{"read", "write", "list"} {
		out = append(out, Kind{
			Placement:   placement.Kind{Name: name, Method: "GET", Path: "/" + name + "/*", DataCentres: dataCentres},
			ServiceTime: time.Millisecond,
		})
	}
	return out
}

// controlCost is what daemons spend on the control plane while no calls run: cpu in percent of a core,
// rssMB, links, and bytes and messages per second are per daemon; reads per
// second are of all daemons.
type controlCost struct {
	cpu, rssMB, bytes, messages, reads, links float64
}

func measureControl(c *cluster, window time.Duration) controlCost {
	n := float64(len(c.nodes))
	before, reads := c.traffic(), c.store.Reads()
	began, used := time.Now(), processCPUTime()
	time.Sleep(window)
	seconds := time.Since(began).Seconds()
	after := c.traffic()
	runtime.GC()
	return controlCost{
		cpu:      100 * (processCPUTime() - used).Seconds() / seconds / n,
		rssMB:    residentMB() / n,
		bytes:    float64(after.bytes-before.bytes) / seconds / n,
		messages: float64(after.messages-before.messages) / seconds / n,
		reads:    float64(c.store.Reads()-reads) / seconds,
		links:    float64(after.links) / n,
	}
}

// traffic sums the bytes and messages of all daemons' links, in both
// directions, and counts the links.
type traffic struct{ bytes, messages, links int64 }

func (c *cluster) traffic() traffic {
	var out traffic
	for _, n := range c.nodes {
		t := n.daemon.Traffic()
		out.bytes += t.BytesOut + t.BytesIn
		out.messages += t.MessagesOut + t.MessagesIn
		out.links += int64(n.daemon.LinkCount())
	}
	return out
}

// measureDaemons measures the control-plane cost with a growing number of
// daemons.
func measureDaemons() ([]*series, error) {
	cpu := &series{name: "control processor time a daemon", unit: "% of a core", sizeUnit: "daemon"}
	rss := &series{name: "memory a daemon (whole process shared out)", unit: "MB", sizeUnit: "daemon"}
	bytes := &series{name: "control bytes a daemon, in and out", unit: "B/s", sizeUnit: "daemon"}
	messages := &series{name: "control messages a daemon", unit: "1/s", sizeUnit: "daemon"}
	reads := &series{name: "platform reads, all daemons", unit: "1/s", sizeUnit: "daemon"}
	links := &series{name: "links a daemon", unit: "links", sizeUnit: "daemon"}
	for _, daemons := range []int{3, 30, 100, 300} {
		c, err := startCluster(daemonsOnly(daemons, min(daemons, 18), 10), clusterOptions{})
		if err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
		m := measureControl(c, controlWindow)
		c.stop()
		size := float64(daemons)
		cpu.add(size, m.cpu)
		rss.add(size, m.rssMB)
		bytes.add(size, m.bytes)
		messages.add(size, m.messages)
		reads.add(size, m.reads)
		links.add(size, m.links)
	}
	return []*series{cpu, rss, bytes, messages, reads, links}, nil
}

// measureMembers measures the cost of a growing list of VMs to three daemons.
// All other VMs on the list do not exist, which costs a daemon as much as if
// they did.
func measureMembers() ([]*series, error) {
	cpu := &series{name: "control processor time a daemon", unit: "% of a core", sizeUnit: "member"}
	heap := &series{name: "heap a daemon", unit: "MB", sizeUnit: "member"}
	bytes := &series{name: "control bytes a daemon, in and out", unit: "B/s", sizeUnit: "member"}
	for _, members := range []int{100, 3000, 21000} {
		before := heapMB()
		c, err := startCluster(daemonsOnly(3, 3, 10), clusterOptions{})
		if err != nil {
			return nil, err
		}
		c.listNonexistentVMs(members - 3)
		if err := waitFor(readyTimeout, "the list of members", func() bool { return c.minMemberCount() >= members }); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
		m := measureControl(c, controlWindow)
		size := float64(members)
		cpu.add(size, m.cpu)
		// The stand-in store holds one more copy of the list.
		heap.add(size, (heapMB()-before)/float64(len(c.nodes)+1))
		bytes.add(size, m.bytes)
		c.stop()
	}
	return []*series{cpu, heap, bytes}, nil
}

// heapMB returns the size of the live heap in MiB.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// listNonexistentVMs adds VMs that do not exist to the platform's list.
func (c *cluster) listNonexistentVMs(count int) {
	var vms []store.VM
	for _, n := range c.nodes {
		vms = append(vms, n.vm)
	}
	for i := range count {
		dc := c.deployment.DataCentres[i%len(c.deployment.DataCentres)]
		vms = append(vms, store.VM{
			ID: fmt.Sprintf("stranger-%05d", i), Region: "bench", DataCentre: dc, State: store.VMLive,
			Service: fmt.Sprintf("service-%03d", i%690), Slots: 12,
			Links: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), Callers: fmt.Sprintf("127.0.0.1:%d", 1+i%1000),
		})
	}
	c.store.SetVMs(vms)
}

// minMemberCount returns the smallest number of members that a daemon knows.
func (c *cluster) minMemberCount() int {
	fewest := math.MaxInt
	for _, n := range c.nodes {
		fewest = min(fewest, n.daemon.MemberCount())
	}
	return fewest
}

// measureServices measures memory, compile time and size of a growing
// placement.
func measureServices() ([]*series, error) {
	heap := &series{name: "heap a daemon", unit: "MB", sizeUnit: "service"}
	compile := &series{name: "compile and hash a version", unit: "ms", sizeUnit: "service"}
	size := &series{name: "whole placement", unit: "bytes", sizeUnit: "service"}
	for _, services := range []int{10, 100, 690} {
		before := heapMB()
		d := daemonsOnly(3, 18, services)
		c, err := startCluster(d, clusterOptions{})
		if err != nil {
			return nil, err
		}
		heap.add(float64(services), (heapMB()-before)/float64(len(c.nodes)+1))
		c.stop()
		doc := d.Document()
		data, err := doc.Encode()
		if err != nil {
			return nil, err
		}
		began := time.Now()
		const rounds = 20
		for range rounds {
			placement.Compile(doc)
			if _, err := doc.Hash(); err != nil {
				return nil, err
			}
		}
		compile.add(float64(services), time.Since(began).Seconds()*1000/rounds)
		size.add(float64(services), float64(len(data)))
	}
	return []*series{heap, compile, size}, nil
}

// changesPerPoint is the number of placement changes at each point of
// measureChanges.
const changesPerPoint = 10

// measureChanges measures how long a placement change takes to be in force at
// all daemons, and what it costs.
func measureChanges() ([]*series, error) {
	median := &series{name: "in force everywhere, median", unit: "ms", sizeUnit: "daemon"}
	worst := &series{name: "in force everywhere, worst of ten", unit: "ms", sizeUnit: "daemon"}
	bytes := &series{name: "bytes a change and daemon, in and out", unit: "B", sizeUnit: "daemon"}
	writes := &series{name: "platform writes a change", unit: "writes", sizeUnit: "daemon"}
	for _, daemons := range []int{3, 30, 100, 300} {
		c, err := startCluster(daemonsOnly(daemons, min(daemons, 18), 100), clusterOptions{})
		if err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second)
		idle := measureControl(c, controlWindow)
		times, cost, err := c.changeTimes(changesPerPoint, idle)
		if err != nil {
			return nil, err
		}
		c.stop()
		size := float64(daemons)
		median.add(size, times[len(times)/2])
		worst.add(size, times[len(times)-1])
		bytes.add(size, cost.bytes)
		writes.add(size, cost.writes)
	}
	return []*series{median, worst, bytes, writes}, nil
}

// changeCost is the cost of one change, without the control-plane cost that
// also occurs without changes. bytes are per daemon.
type changeCost struct{ bytes, writes float64 }

// changeTimes applies changes through different daemons, one after the other,
// and waits until each is in force everywhere. The times are in milliseconds,
// sorted.
func (c *cluster) changeTimes(count int, idle controlCost) ([]float64, changeCost, error) {
	var times []float64
	before, writes, began := c.traffic(), c.store.Writes(), time.Now()
	for i := range count {
		took, err := c.applyChange(c.nodes[i*7%len(c.nodes)], i)
		if err != nil {
			return nil, changeCost{}, err
		}
		times = append(times, float64(took.Microseconds())/1000)
	}
	after, seconds := c.traffic(), time.Since(began).Seconds()
	n := float64(len(c.nodes))
	cost := changeCost{
		bytes:  (float64(after.bytes-before.bytes)/n - idle.bytes*seconds) / float64(count),
		writes: float64(c.store.Writes()-writes) / float64(count),
	}
	sort.Float64s(times)
	return times, cost, nil
}

// applyChange applies one change through a daemon and returns the time until it
// is in force everywhere.
func (c *cluster) applyChange(at *node, i int) (time.Duration, error) {
	kind := exampleKinds(c.deployment.DataCentres)[0].Placement
	kind.Timeout = time.Duration(i+1) * time.Second
	began := time.Now()
	version, err := at.daemon.Apply(context.Background(), fmt.Sprintf("change-%d", i), "bench",
		[]placement.Change{{Op: placement.PutKind, Service: c.deployment.Services[0].Name, Kind: kind}})
	if err != nil {
		return 0, errors.Wrap(err, "apply a placement change")
	}
	err = waitFor(readyTimeout, "a change to be in force", func() bool {
		for _, n := range c.nodes {
			if n.daemon.World.View.Placement().Version < version {
				return false
			}
		}
		return true
	})
	return time.Since(began), err
}
