package trace

import (
	"fmt"
	"io"
	"strings"

	"github.com/rushramp/rushramp/pkg/events"
)

// WriteText writes the report as text for operators.
func (r *Report) WriteText(w io.Writer) error {
	var out strings.Builder
	if r.Entry == "" {
		fmt.Fprintf(&out, "request %s: the line of its entry is missing\n", r.Request)
	} else {
		fmt.Fprintf(&out, "request %s: %s after %s, entry %s\n", r.Request, r.Outcome, events.Milliseconds(r.Took), r.Entry)
		fmt.Fprintf(&out, "time: %s queued, %s run, %s elsewhere (entry, links, attempts without an answer)\n",
			events.Milliseconds(r.Queued), events.Milliseconds(r.Run), events.Milliseconds(r.Elsewhere))
	}
	for i, attempt := range r.Attempts {
		fmt.Fprintf(&out, "attempt %d: %s\n", i+1, attempt)
	}
	out.WriteString("log lines, by the clocks of their VMs:\n")
	for i := range r.Lines {
		r.writeLine(&out, &r.Lines[i])
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func (r *Report) writeLine(out *strings.Builder, line *Line) {
	const clock = "15:04:05.000000"
	fmt.Fprintf(out, "  %s %s event %d: %s", line.Time.Format(clock), line.VM, line.Event, line.Text)
	if line.Request != r.Request {
		fmt.Fprintf(out, " (call %s)", line.Request)
	}
	out.WriteByte('\n')
	for _, f := range line.Fields {
		if f.Key != "attempts" && f.Value != "" {
			fmt.Fprintf(out, "      %s: %s\n", f.Key, f.Value)
		}
	}
}
