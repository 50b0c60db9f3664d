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

// slope is a figure against a size, with a straight line through its points.
// docs/CAPACITY.md is worked out from these lines.
type slope struct {
	name   string
	unit   string
	per    string
	sizes  []float64
	values []float64
}

func (s *slope) add(size, value float64) {
	s.sizes = append(s.sizes, size)
	s.values = append(s.values, value)
}

// fit is the line of least squares, and the largest distance of a point from
// it as a share of the largest value: what noise there is shows there.
func (s *slope) fit() (base, per, off float64) {
	n := float64(len(s.sizes))
	var sx, sy, sxx, sxy, most float64
	for i, x := range s.sizes {
		y := s.values[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
		most = math.Max(most, math.Abs(y))
	}
	per = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base = (sy - per*sx) / n
	for i, x := range s.sizes {
		off = math.Max(off, math.Abs(s.values[i]-base-per*x))
	}
	if most > 0 {
		off /= most
	}
	return base, per, off
}

func (s *slope) print(w io.Writer) {
	base, per, off := s.fit()
	points := ""
	for i, x := range s.sizes {
		points += fmt.Sprintf("%g:%.4g ", x, s.values[i])
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g per %s\t%.0f%%\t\n", s.name, s.unit, points, base, per, s.per, 100*off)
}

func printSlopes(out io.Writer, slopes []*slope) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "figure\tunit\tpoints (size:value)\tbase\tslope\tfarthest point\t")
	for _, s := range slopes {
		s.print(w)
	}
	_ = w.Flush()
}

func slopesCommand() *cobra.Command {
	f := &flags{}
	cmd := &cobra.Command{
		Use:       "slopes daemons|members|services|changes|calls|claims",
		Short:     "Measure how the cost of control grows, for docs/CAPACITY.md",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"daemons", "members", "services", "changes", "calls", "claims"},
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.profiled(func() error { return runSlopes(cmd.OutOrStdout(), args[0]) })
		},
	}
	f.register(cmd)
	return cmd
}

func runSlopes(out io.Writer, what string) error {
	measures := map[string]func() ([]*slope, error){
		"daemons":  slopesOfDaemons,
		"members":  slopesOfMembers,
		"services": slopesOfServices,
		"changes":  slopesOfChanges,
		"calls":    slopesOfCalls,
		"claims":   slopesOfClaims,
	}
	slopes, err := measures[what]()
	if err != nil {
		return err
	}
	printSlopes(out, slopes)
	return nil
}

// slopeWindow is how long each point is measured.
const slopeWindow = 4 * time.Second

// bare is a deployment of daemons without backend servers or load.
func bare(daemons, dataCentres, services int) *Deployment {
	d := &Deployment{Name: "bare", Slots: 12, Connections: 200, ExtraEntries: daemons, TimeScale: 1}
	for i := range dataCentres {
		d.DataCentres = append(d.DataCentres, fmt.Sprintf("dc-%02d", i))
	}
	for i := range services {
		d.Services = append(d.Services, Service{Name: fmt.Sprintf("service-%03d", i), Kinds: bareKinds(d.DataCentres)})
	}
	return d
}

// bareKinds are three kinds of a service, as the examples have them.
func bareKinds(dataCentres []string) []Kind {
	var out []Kind
	for _, name := range []string{"read", "write", "list"} {
		out = append(out, Kind{
			Placement:   placement.Kind{Name: name, Method: "GET", Path: "/" + name + "/*", DataCentres: dataCentres},
			ServiceTime: time.Millisecond,
		})
	}
	return out
}

// control is what a cluster spends on control while no calls come, per daemon
// and second.
type control struct {
	cpu, rssMB, bytes, messages, reads, links float64
}

func measureControl(c *cluster, window time.Duration) control {
	n := float64(len(c.nodes))
	before, reads := c.traffic(), c.store.Reads()
	began, used := time.Now(), processCPU()
	time.Sleep(window)
	seconds := time.Since(began).Seconds()
	after := c.traffic()
	runtime.GC()
	return control{
		cpu:      100 * (processCPU() - used).Seconds() / seconds / n,
		rssMB:    residentMB() / n,
		bytes:    float64(after.bytes-before.bytes) / seconds / n,
		messages: float64(after.messages-before.messages) / seconds / n,
		reads:    float64(c.store.Reads()-reads) / seconds,
		links:    float64(after.links) / n,
	}
}

// traffic sums what all daemons have sent over links.
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

// slopesOfDaemons starts ever more daemons.
func slopesOfDaemons() ([]*slope, error) {
	cpu := &slope{name: "control processor time a daemon", unit: "% of a core", per: "daemon"}
	rss := &slope{name: "memory a daemon (whole process shared out)", unit: "MB", per: "daemon"}
	bytes := &slope{name: "control bytes a daemon, in and out", unit: "B/s", per: "daemon"}
	messages := &slope{name: "control messages a daemon", unit: "1/s", per: "daemon"}
	reads := &slope{name: "platform reads, all daemons", unit: "1/s", per: "daemon"}
	links := &slope{name: "links a daemon", unit: "links", per: "daemon"}
	for _, daemons := range []int{3, 30, 100, 300} {
		c, err := startCluster(bare(daemons, min(daemons, 18), 10), clusterOptions{})
		if err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
		m := measureControl(c, slopeWindow)
		c.stop()
		size := float64(daemons)
		cpu.add(size, m.cpu)
		rss.add(size, m.rssMB)
		bytes.add(size, m.bytes)
		messages.add(size, m.messages)
		reads.add(size, m.reads)
		links.add(size, m.links)
	}
	return []*slope{cpu, rss, bytes, messages, reads, links}, nil
}

// slopesOfMembers gives three daemons ever longer lists of VMs. The others on
// the list do not exist, which costs no less than if they did.
func slopesOfMembers() ([]*slope, error) {
	cpu := &slope{name: "control processor time a daemon", unit: "% of a core", per: "member"}
	heap := &slope{name: "heap a daemon", unit: "MB", per: "member"}
	bytes := &slope{name: "control bytes a daemon, in and out", unit: "B/s", per: "member"}
	for _, members := range []int{100, 3000, 21000} {
		before := heapMB()
		c, err := startCluster(bare(3, 3, 10), clusterOptions{})
		if err != nil {
			return nil, err
		}
		c.listStrangers(members - 3)
		if err := waitFor(readyBound, "the list of members", func() bool { return c.membersKnown() >= members }); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
		m := measureControl(c, slopeWindow)
		size := float64(members)
		cpu.add(size, m.cpu)
		// Each daemon stands beside the stand-in's own list, which is one more.
		heap.add(size, (heapMB()-before)/float64(len(c.nodes)+1))
		bytes.add(size, m.bytes)
		c.stop()
	}
	return []*slope{cpu, heap, bytes}, nil
}

func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// listStrangers adds VMs that do not exist to the platform's list.
func (c *cluster) listStrangers(count int) {
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

// membersKnown is the fewest members that a daemon knows of.
func (c *cluster) membersKnown() int {
	least := math.MaxInt
	for _, n := range c.nodes {
		least = min(least, n.daemon.MemberCount())
	}
	return least
}

// slopesOfServices gives three daemons ever larger placements.
func slopesOfServices() ([]*slope, error) {
	heap := &slope{name: "heap a daemon", unit: "MB", per: "service"}
	compile := &slope{name: "compile and hash a version", unit: "ms", per: "service"}
	size := &slope{name: "whole placement", unit: "bytes", per: "service"}
	for _, services := range []int{10, 100, 690} {
		before := heapMB()
		d := bare(3, 18, services)
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
	return []*slope{heap, compile, size}, nil
}

// changesAPoint is how many changes each point of slopesOfChanges makes.
const changesAPoint = 10

// slopesOfChanges measures how long a change takes to be in force at all
// daemons, and what it costs.
func slopesOfChanges() ([]*slope, error) {
	median := &slope{name: "in force everywhere, median", unit: "ms", per: "daemon"}
	worst := &slope{name: "in force everywhere, worst of ten", unit: "ms", per: "daemon"}
	bytes := &slope{name: "bytes a change and daemon, in and out", unit: "B", per: "daemon"}
	writes := &slope{name: "platform writes a change", unit: "writes", per: "daemon"}
	for _, daemons := range []int{3, 30, 100, 300} {
		c, err := startCluster(bare(daemons, min(daemons, 18), 100), clusterOptions{})
		if err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second)
		quiet := measureControl(c, slopeWindow)
		times, cost, err := c.changeTimes(changesAPoint, quiet)
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
	return []*slope{median, worst, bytes, writes}, nil
}

// changeCost is what one change took, beyond what goes on without changes.
type changeCost struct{ bytes, writes float64 }

// changeTimes makes changes through daemons in turn and waits for each to be
// in force everywhere. Times are in milliseconds, sorted.
func (c *cluster) changeTimes(count int, quiet control) ([]float64, changeCost, error) {
	var times []float64
	before, writes, began := c.traffic(), c.store.Writes(), time.Now()
	for i := range count {
		took, err := c.change1(c.nodes[i*7%len(c.nodes)], i)
		if err != nil {
			return nil, changeCost{}, err
		}
		times = append(times, float64(took.Microseconds())/1000)
	}
	after, seconds := c.traffic(), time.Since(began).Seconds()
	n := float64(len(c.nodes))
	cost := changeCost{
		bytes:  (float64(after.bytes-before.bytes)/n - quiet.bytes*seconds) / float64(count),
		writes: float64(c.store.Writes()-writes) / float64(count),
	}
	sort.Float64s(times)
	return times, cost, nil
}

// change1 applies one change at a daemon.
func (c *cluster) change1(at *node, i int) (time.Duration, error) {
	kind := bareKinds(c.deployment.DataCentres)[0].Placement
	kind.Timeout = time.Duration(i+1) * time.Second
	began := time.Now()
	version, err := at.daemon.Apply(context.Background(), fmt.Sprintf("change-%d", i), "bench",
		[]placement.Change{{Op: placement.PutKind, Service: c.deployment.Services[0].Name, Kind: kind}})
	if err != nil {
		return 0, errors.Wrap(err, "change")
	}
	err = waitFor(readyBound, "a change to be in force", func() bool {
		for _, n := range c.nodes {
			if n.daemon.World.View.Placement().Version < version {
				return false
			}
		}
		return true
	})
	return time.Since(began), err
}
