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

// CallHistogram counts the calls of one kind, place and outcome since the
// daemon's start, by answer time.
type CallHistogram struct {
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
	// Server is the backend server that ran the calls; empty when none did.
	Server string `json:"server"`
	// Outcome is "answered" or an error kind.
	Outcome string `json:"outcome"`
	// Buckets maps the upper bound of an answer time, in seconds, to the calls
	// in that bucket.
	Buckets map[string]float64 `json:"buckets"`
}

func (h *CallHistogram) key() string {
	return strings.Join([]string{h.Service, h.Kind, h.DataCentre, h.Server, h.Outcome}, "\x00")
}

// Sample holds the histograms of all daemons, read at one moment.
type Sample struct {
	At         time.Time       `json:"at"`
	Histograms []CallHistogram `json:"counts"`
	// Missing lists the daemons that did not answer.
	Missing []string `json:"missing,omitempty"`
	// StartTimes holds each daemon's process start time, in Unix seconds.
	StartTimes map[string]float64 `json:"starts"`
}

// readTimeout limits the scrape of one daemon.
const readTimeout = 2 * time.Second

// TakeSample scrapes all daemons. Those that do not answer are listed in
// Missing.
func TakeSample(daemons []string, now time.Time) Sample {
	out := Sample{At: now, StartTimes: map[string]float64{}}
	client := &http.Client{Timeout: readTimeout}
	for _, d := range daemons {
		resp, err := client.Get("http://" + d + "/metrics")
		if err != nil {
			out.Missing = append(out.Missing, d)
			continue
		}
		histograms, started := parseMetrics(resp.Body)
		_ = resp.Body.Close()
		out.Histograms = append(out.Histograms, histograms...)
		out.StartTimes[d] = started
	}
	return out
}

// bucketLine matches a histogram bucket in the daemons' metrics output.
var bucketLine = regexp.MustCompile(`^rushramp_served_seconds_bucket\{service="([^"]*)",kind="([^"]*)",data_centre="([^"]*)",server="([^"]*)",outcome="([^"]*)",vmrange="[^"]*\.\.\.([^"]*)"\} (\S+)$`)

// parseMetrics reads a daemon's metrics output. started is the process start time in
// Unix seconds.
func parseMetrics(text io.Reader) (out []CallHistogram, started float64) {
	histograms := map[string]*CallHistogram{}
	scanner := bufio.NewScanner(text)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), "process_start_time_seconds "); ok {
			started, _ = strconv.ParseFloat(value, 64)
		}
		m := bucketLine.FindStringSubmatch(scanner.Text())
		if m == nil {
			continue
		}
		h := CallHistogram{Service: m[1], Kind: m[2], DataCentre: m[3], Server: m[4], Outcome: m[5]}
		if histograms[h.key()] == nil {
			h.Buckets = map[string]float64{}
			histograms[h.key()] = &h
		}
		n, err := strconv.ParseFloat(m[7], 64)
		if err == nil {
			histograms[h.key()].Buckets[m[6]] += n
		}
	}
	for _, h := range histograms {
		out = append(out, *h)
	}
	return out, started
}

// LoadSamples reads the samples stored in a file. It returns none when the file
// does not exist.
func LoadSamples(path string) ([]Sample, error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "open the samples file")
	}
	defer func() { _ = file.Close() }()
	var out []Sample
	dec := json.NewDecoder(file)
	for {
		var s Sample
		if err := dec.Decode(&s); errors.Is(err, io.EOF) {
			return out, nil
		} else if err != nil {
			return nil, errors.Errorf("cannot read the samples in %s: %v. Move the file away to start without samples.", path, err)
		}
		out = append(out, s)
	}
}

// sampleRetention is a little longer than the longest window, so that a sample
// from before the start of that window is kept.
const sampleRetention = 7 * time.Hour

// SaveSamples replaces the file at path with the samples that are at most
// sampleRetention old at the time now.
func SaveSamples(path string, samples []Sample, now time.Time) error {
	temporary := path + ".new"
	file, err := os.Create(temporary)
	if err != nil {
		return errors.Wrap(err, "write the samples file")
	}
	enc := json.NewEncoder(file)
	for _, s := range samples {
		if now.Sub(s.At) > sampleRetention {
			continue
		}
		if err := enc.Encode(s); err != nil {
			_ = file.Close()
			return errors.Wrap(err, "write the samples file")
		}
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "write the samples file")
	}
	return errors.Wrap(os.Rename(temporary, path), "write the samples file")
}

// total returns the number of calls in all buckets.
func (h *CallHistogram) total() float64 { return h.countUpTo(math.Inf(1)) }

// within returns the number of calls answered within d.
func (h *CallHistogram) within(d time.Duration) float64 {
	if h.Outcome != answered {
		return 0
	}
	// Buckets whose upper bound is at most bucketWidth times d count as within
	// d, so that most of the time the bucket that contains d does.
	const bucketWidth = 1.1
	return h.countUpTo(d.Seconds() * bucketWidth)
}

// countUpTo returns the number of calls in the buckets whose upper bound is at
// most the given number of seconds.
func (h *CallHistogram) countUpTo(seconds float64) float64 {
	sum := 0.0
	for bound, n := range h.Buckets {
		upper, err := strconv.ParseFloat(bound, 64)
		if err == nil && upper <= seconds {
			sum += n
		}
	}
	return sum
}

// answered is the outcome of calls that a backend server answered.
const answered = "answered"
