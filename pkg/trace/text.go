package trace

import (
	"fmt"
	"io"
	"strings"

	"github.com/rushramp/rushramp/pkg/events"
)

// WriteText writes the account for people to read.
func (a *Report) WriteText(w io.Writer) error {
	var out strings.Builder
	if a.Entry == "" {
		fmt.Fprintf(&out, "request %s: the line of its entry is missing\n", a.Request)
	} else {
		fmt.Fprintf(&out, "request %s: %s after %s, entry %s\n", a.Request, a.Outcome, events.Milliseconds(a.Took), a.Entry)
		fmt.Fprintf(&out, "time: %s queued, %s run, %s elsewhere (entry, links, attempts without an answer)\n",
			events.Milliseconds(a.Queued), events.Milliseconds(a.Run), events.Milliseconds(a.Elsewhere))
	}
	for i, attempt := range a.Attempts {
		fmt.Fprintf(&out, "attempt %d: %s\n", i+1, attempt)
	}
	out.WriteString("lines, by the clocks of their VMs:\n")
	for i := range a.Lines {
		a.writeLine(&out, &a.Lines[i])
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func (a *Report) writeLine(out *strings.Builder, line *Line) {
	const clock = "15:04:05.000000"
	fmt.Fprintf(out, "  %s %s event %d: %s", line.Time.Format(clock), line.VM, line.Event, line.Text)
	if line.Request != a.Request {
		fmt.Fprintf(out, " (call %s)", line.Request)
	}
	out.WriteByte('\n')
	for _, f := range line.Fields {
		if f.Key != "attempts" && f.Value != "" {
			fmt.Fprintf(out, "      %s: %s\n", f.Key, f.Value)
		}
	}
}
