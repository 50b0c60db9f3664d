package burn

import (
	"bufio"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// CallHistogram is the calls of one kind, at one place, up to a moment.
type CallHistogram struct {
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
	// Server is the backend server that ran the calls; empty where none did.
	Server string `json:"server"`
	// Outcome is "answered" or an error kind.
	Outcome string `json:"outcome"`
	// Buckets are counts by the upper bound of the answer time in seconds.
	Buckets map[string]float64 `json:"buckets"`
}

func (c *CallHistogram) key() string {
	return strings.Join([]string{c.Service, c.Kind, c.DataCentre, c.Server, c.Outcome}, "\x00")
}

// Sample is all counts of all daemons that were read at one moment.
type Sample struct {
	At         time.Time   `json:"at"`
	Histograms []CallHistogram `json:"counts"`
	// Missing are daemons that did not answer.
	Missing []string `json:"missing,omitempty"`
	// StartTimes tell daemons that were started again since: their counts begin
	// anew.
	StartTimes map[string]float64 `json:"starts"`
}

const readTime = 2 * time.Second

// TakeSample takes a sample of all daemons.
func TakeSample(daemons []string, now time.Time) Sample {
	out := Sample{At: now, StartTimes: map[string]float64{}}
	client := &http.Client{Timeout: readTime}
	for _, d := range daemons {
		resp, err := client.Get("http://" + d + "/metrics")
		if err != nil {
			out.Missing = append(out.Missing, d)
			continue
		}
		counts, started := parse(resp.Body)
		_ = resp.Body.Close()
		out.Histograms = append(out.Histograms, counts...)
		out.StartTimes[d] = started
	}
	return out
}

// line is a histogram's bucket as the daemons write it.
var line = regexp.MustCompile(`^rushramp_served_seconds_bucket\{service="([^"]*)",kind="([^"]*)",data_centre="([^"]*)",server="([^"]*)",outcome="([^"]*)",vmrange="[^"]*\.\.\.([^"]*)"\} (\S+)$`)

func parse(text io.Reader) (counts []CallHistogram, started float64) {
	by := map[string]*CallHistogram{}
	scanner := bufio.NewScanner(text)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), "process_start_time_seconds "); ok {
			started, _ = strconv.ParseFloat(value, 64)
		}
		m := line.FindStringSubmatch(scanner.Text())
		if m == nil {
			continue
		}
		c := CallHistogram{Service: m[1], Kind: m[2], DataCentre: m[3], Server: m[4], Outcome: m[5]}
		if by[c.key()] == nil {
			c.Buckets = map[string]float64{}
			by[c.key()] = &c
		}
		n, err := strconv.ParseFloat(m[7], 64)
		if err == nil {
			by[c.key()].Buckets[m[6]] += n
		}
	}
	for _, c := range by {
		counts = append(counts, *c)
	}
	return counts, started
}

// LoadSamples reads the samples kept in a file; none when there is no file yet.
func LoadSamples(path string) ([]Sample, error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "samples")
	}
	defer func() { _ = file.Close() }()
	var out []Sample
	dec := json.NewDecoder(file)
	for {
		var s Sample
		if err := dec.Decode(&s); errors.Is(err, io.EOF) {
			return out, nil
		} else if err != nil {
			return nil, errors.Errorf("%s cannot be read: %v. Move it away to begin anew.", path, err)
		}
		out = append(out, s)
	}
}

// keepSamplesFor is a little over the longest window.
const keepSamplesFor = 7 * time.Hour

// SaveSamples writes the samples that windows can still need.
func SaveSamples(path string, samples []Sample, now time.Time) error {
	temporary := path + ".new"
	file, err := os.Create(temporary)
	if err != nil {
		return errors.Wrap(err, "samples")
	}
	enc := json.NewEncoder(file)
	for _, s := range samples {
		if now.Sub(s.At) > keepSamplesFor {
			continue
		}
		if err := enc.Encode(s); err != nil {
			_ = file.Close()
			return errors.Wrap(err, "samples")
		}
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "samples")
	}
	return errors.Wrap(os.Rename(temporary, path), "samples")
}

// total sums a count's buckets; within sums those whose bound is at most a time.
func (c *CallHistogram) total() float64 { return c.upTo(math.Inf(1)) }

func (c *CallHistogram) within(d time.Duration) float64 {
	if c.Outcome != answered {
		return 0
	}
	// A bucket that the time falls into counts as within when its upper bound
	// is no more than a tenth above it: buckets are some tenth wide.
	const bucketWidth = 1.1
	return c.upTo(d.Seconds() * bucketWidth)
}

func (c *CallHistogram) upTo(seconds float64) float64 {
	sum := 0.0
	for bound, n := range c.Buckets {
		upper, err := strconv.ParseFloat(bound, 64)
		if err == nil && upper <= seconds {
			sum += n
		}
	}
	return sum
}

const answered = "answered"
