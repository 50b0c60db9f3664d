// Package trace joins the log lines that several daemons wrote about one routed
// request into one account: who decided what, on which knowledge, and where the
// time went. Source: docs/OPERATIONS.md.
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

// maxLine bounds a log line that is read, in bytes.
const maxLine = 1 << 20

// Line is one log line about the request.
type Line struct {
	Time  time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event events.ID `json:"event"`
	Text  string    `json:"text"`
	// Request is the id of the line: the request's own, or that of a call that
	// its run made.
	Request string `json:"request"`
	// Fields are the other fields, in the order of the line.
	Fields []Field `json:"fields"`
}

// Field is one key and value of a line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Value returns the value of a field; empty when the line has none.
func (l *Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// duration returns a field that holds a time; 0 when it does not.
func (l *Line) duration(key string) time.Duration {
	d, err := time.ParseDuration(l.Value(key))
	if err != nil {
		return 0
	}
	return d
}

// Report is what the lines tell of one request.
type Report struct {
	Request string `json:"request"`
	// Outcome, Entry and Server are empty while the entry's line is missing.
	Outcome string `json:"outcome"`
	Entry   string `json:"entry"`
	Server  string `json:"server,omitempty"`
	// Took is the whole time at the entry; Queued and Run are the parts at the
	// gate and at the backend server that answered, Elsewhere is the rest: the
	// entry, the links, and attempts that ended without an answer.
	Took      time.Duration `json:"took_ns"`
	Queued    time.Duration `json:"queued_ns"`
	Run       time.Duration `json:"run_ns"`
	Elsewhere time.Duration `json:"elsewhere_ns"`
	// Attempts are the entry's attempts in turn, as its line holds them.
	Attempts []string `json:"attempts"`
	Lines    []Line   `json:"lines"`
}

// NotFoundError says that no line names the request.
type NotFoundError struct{ Request string }

// Error implements error.
func (n *NotFoundError) Error() string {
	return "no line names request " + n.Request + ". Give the logs of all daemons; routine lines may have been left out (event 108 counts them)."
}

// Read joins what the inputs say of a request. Text before a line's first field
// is passed over, so that logs that a collector has prefixed can be read.
func Read(request string, inputs ...io.Reader) (*Report, error) {
	out := &Report{Request: request}
	for _, in := range inputs {
		scanner := bufio.NewScanner(in)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if line, ok := parse(request, scanner.Text()); ok {
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
	out.sum()
	return out, nil
}

// firstField begins each log line.
const firstField = "ts="

// parse reads one line; ok is false when it is not about the request.
func parse(request, text string) (line Line, ok bool) {
	at := strings.Index(text, firstField)
	if at < 0 || !strings.Contains(text, "request="+request) {
		return line, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		line.take(string(decoder.Key()), string(decoder.Value()))
	}
	mine := line.Request == request || strings.HasPrefix(line.Request, request+".")
	return line, mine && decoder.Err() == nil
}

func (l *Line) take(key, value string) {
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

// sum takes the account from the entry's own line.
func (a *Report) sum() {
	for i := range a.Lines {
		line := &a.Lines[i]
		if line.Request != a.Request || (line.Event != events.RequestAnswered && line.Event != events.RequestFailed) {
			continue
		}
		a.Outcome, a.Entry, a.Server = line.Value("outcome"), line.VM, line.Value("server")
		if status := line.Value("status"); status != "" {
			a.Outcome += " " + status
		}
		a.Took, a.Queued, a.Run = line.duration("took"), line.duration("queued"), line.duration("run")
		a.Elsewhere = a.Took - a.Queued - a.Run
		if attempts := line.Value("attempts"); attempts != "" {
			a.Attempts = strings.Split(attempts, "; ")
		}
	}
}
