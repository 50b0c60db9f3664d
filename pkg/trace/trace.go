// Package trace joins the log lines that several daemons wrote about one routed
// request into one report: its attempts, what the entry knew at each, its outcome, and
// where its time was spent. Source: docs/OPERATIONS.md.
package trace

import (
	"bufio"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/events"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line about the request.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event events.ID `json:"event"`
	Text  string    `json:"text"`
	// Request is the id in the line: that of the request, or that of a call that the
	// backend server made while it ran the request.
	Request string `json:"request"`
	// Fields holds the other fields in the order of the line.
	Fields []Field `json:"fields"`
}

// Field is one key and value of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Value returns the value of a field, or "" if the line does not have it.
func (l *Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// duration returns the value of a field as a duration, or 0 if it cannot be parsed.
func (l *Line) duration(key string) time.Duration {
	d, err := time.ParseDuration(l.Value(key))
	if err != nil {
		return 0
	}
	return d
}

// Report holds the log lines about one request and a summary of them.
type Report struct {
	Request string `json:"request"`
	// Outcome, Entry and Server are empty if the line of the entry is missing. Entry and
	// Server are names of VMs.
	Outcome string `json:"outcome"`
	Entry   string `json:"entry"`
	Server  string `json:"server,omitempty"`
	// Took is the total time at the entry. Queued is the time at the gate, Run that at the
	// backend server that answered. Elsewhere is the rest: the time in the entry, on
	// links, and in attempts without an answer.
	Took      time.Duration `json:"took_ns"`
	Queued    time.Duration `json:"queued_ns"`
	Run       time.Duration `json:"run_ns"`
	Elsewhere time.Duration `json:"elsewhere_ns"`
	// Attempts holds the attempts in their order, as the line of the entry describes them.
	Attempts []string `json:"attempts"`
	Lines    []Line   `json:"lines"`
}

// NotFoundError is returned if no line is about the request.
type NotFoundError struct{ Request string }

// Error implements error.
func (n *NotFoundError) Error() string {
	return "no log line names request " + n.Request + ". Give the logs of all daemons; routine lines may have been dropped (event 108 counts them)."
}

// Read reads logs and returns a report of the lines about a request, ordered by time. It
// ignores text before the first field of a line, such as the prefix of a log collector.
// The error is a *NotFoundError if there is no such line.
func Read(request string, inputs ...io.Reader) (*Report, error) {
	out := &Report{Request: request}
	for _, in := range inputs {
		scanner := bufio.NewScanner(in)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if line, ok := parseLine(request, scanner.Text()); ok {
				out.Lines = append(out.Lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "log")
		}
	}
	if len(out.Lines) == 0 {
		return nil, &NotFoundError{Request: request}
	}
	sort.SliceStable(out.Lines, func(i, j int) bool { return out.Lines[i].Time.Before(out.Lines[j].Time) })
	out.summarise()
	return out, nil
}

// timestampPrefix is the key of the first field of each log line, with the equals sign.
const timestampPrefix = "ts="

// parseLine parses one line; ok is false if it is not about the request.
func parseLine(request, text string) (line Line, ok bool) {
	at := strings.Index(text, timestampPrefix)
	if at < 0 || !strings.Contains(text, "request="+request) {
		return line, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		line.setField(string(decoder.Key()), string(decoder.Value()))
	}
	isAboutRequest := line.Request == request || strings.HasPrefix(line.Request, request+".")
	return line, isAboutRequest && decoder.Err() == nil
}

// setField stores one key and value of the line; it ignores the level.
func (l *Line) setField(key, value string) {
	switch key {
	case "ts":
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	case "vm":
		l.VM = value
	case "event":
		number, _ := strconv.Atoi(value)
		l.Event = events.ID(number)
	case "msg":
		l.Text = value
	case "request":
		l.Request = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{Key: key, Value: value})
	}
}

// summarise fills in the summary from the line that the entry logged at the end of the
// request.
func (r *Report) summarise() {
	for i := range r.Lines {
		line := &r.Lines[i]
		if line.Request != r.Request || (line.Event != events.RequestAnswered && line.Event != events.RequestFailed) {
			continue
		}
		r.Outcome, r.Entry, r.Server = line.Value("outcome"), line.VM, line.Value("server")
		if status := line.Value("status"); status != "" {
			r.Outcome += " " + status
		}
		r.Took, r.Queued, r.Run = line.duration("took"), line.duration("queued"), line.duration("run")
		r.Elsewhere = r.Took - r.Queued - r.Run
		if attempts := line.Value("attempts"); attempts != "" {
			r.Attempts = strings.Split(attempts, "; ")
		}
	}
}
