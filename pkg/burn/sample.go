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
	// Missing lists the daemons whose metrics could not be read whole.
	Missing []string `json:"missing,omitempty"`
	// Causes tells for each of them why.
	Causes map[string]string `json:"causes,omitempty"`
	// StartTimes holds each daemon's process start time, in Unix seconds.
	StartTimes map[string]float64 `json:"starts"`
}

// readTimeout limits the scrape of one daemon.
const readTimeout = 2 * time.Second

// TakeSample scrapes all daemons. Those whose metrics cannot be read whole are listed in
// Missing.
func TakeSample(daemons []string, now time.Time) Sample {
	out := Sample{At: now, Causes: map[string]string{}, StartTimes: map[string]float64{}}
	client := &http.Client{Timeout: readTimeout}
	for _, d := range daemons {
		histograms, started, err := readDaemon(client, d)
		if err != nil {
			out.Missing, out.Causes[d] = append(out.Missing, d), err.Error()
			continue
		}
		out.Histograms = append(out.Histograms, histograms...)
		out.StartTimes[d] = started
	}
	return out
}

// readDaemon scrapes one daemon. started is the process start time in Unix seconds.
func readDaemon(client *http.Client, address string) (out []CallHistogram, started float64, err error) {
	resp, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, 0, errors.Wrap(err, "read its metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, errors.Errorf("read its metrics: status %s", resp.Status)
	}
	out, started, err = parseMetrics(resp.Body)
	return out, started, errors.Wrap(err, "read its metrics")
}

// bucketLine matches a histogram bucket in the daemons' metrics output.
var bucketLine = regexp.MustCompile(`^rushramp_served_seconds_bucket\{service="([^"]*)",kind="([^"]*)",data_centre="([^"]*)",server="([^"]*)",outcome="([^"]*)",vmrange="[^"]*\.\.\.([^"]*)"\} (\S+)$`)

// maxLineBytes limits a line of a daemon's metrics output.
const maxLineBytes = 64 << 10

// parseMetrics reads a daemon's metrics output. started is the process start time in
// Unix seconds.
func parseMetrics(text io.Reader) (out []CallHistogram, started float64, err error) {
	histograms := map[string]*CallHistogram{}
	scanner := bufio.NewScanner(text)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), "process_start_time_seconds "); ok {
			if started, err = strconv.ParseFloat(value, 64); err != nil {
				return nil, 0, errors.Wrap(err, "parse the process start time")
			}
		}
		if err := addBucket(histograms, scanner.Text()); err != nil {
			return nil, 0, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, errors.Wrap(err, "read lines")
	}
	for _, h := range histograms {
		out = append(out, *h)
	}
	return out, started, nil
}

// addBucket adds a line of the metrics output to its histogram. Lines of other metrics are
// ignored.
func addBucket(histograms map[string]*CallHistogram, line string) error {
	m := bucketLine.FindStringSubmatch(line)
	if m == nil {
		return nil
	}
	n, err := strconv.ParseFloat(m[7], 64)
	if err != nil {
		return errors.Wrapf(err, "parse the bucket %q", line)
	}
	h := CallHistogram{Service: m[1], Kind: m[2], DataCentre: m[3], Server: m[4], Outcome: m[5]}
	if histograms[h.key()] == nil {
		h.Buckets = map[string]float64{}
		histograms[h.key()] = &h
	}
	histograms[h.key()].Buckets[m[6]] += n
	return nil
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
