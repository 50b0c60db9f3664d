package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const entryLog = `   33.4544 vm-1 ts=2000-01-01T00:00:01.5Z vm=vm-1 level=info event=506 msg="routed request answered by a backend server" request=r-7 took=120.5ms route=read service=s version=3 tries=2 offered=1 stopped=answered attempts="vm-2 soft load=4/4 slowdown=100 age=3.0ms -> gate_busier 0.4ms; vm-3 far load=unknown -> 200 119.0ms" outcome=answered status=200 server=vm-3 queued=20.0ms run=80.5ms
ts=2000-01-01T00:00:01.6Z vm=vm-1 level=info event=506 msg="routed request answered by a backend server" request=r-70 took=1ms
no line of a log
ts=2000-01-01T00:00:01.6Z vm=vm-1 level=info event=301 msg="placement in force" version=3
`

const executorLog = `ts=2000-01-01T00:00:01.48Z vm=vm-3 level=info event=507 msg="run ended at the backend server" request=r-7 status=200
ts=2000-01-01T00:00:01.45Z vm=vm-2 level=info event=508 msg="request refused at the gate" request=r-7 outcome=gate_busier
ts=2000-01-01T00:00:01.47Z vm=vm-3 level=info event=504 msg="routed request was not answered by a backend server" request=r-7.1 outcome=overloaded
`

func TestReadJoinsLinesOfSeveralDaemons(t *testing.T) {
	report, err := Read("r-7", strings.NewReader(entryLog), strings.NewReader(executorLog))
	must.NoError(t, err)
	test.Eq(t, "answered 200", report.Outcome)
	test.Eq(t, "vm-1", report.Entry)
	test.Eq(t, "vm-3", report.Server)
	test.Eq(t, 20*time.Millisecond, report.Elsewhere)
	test.Len(t, 2, report.Attempts)
	var vms []string
	for _, line := range report.Lines {
		vms = append(vms, line.VM+" "+line.Request)
	}
	test.Eq(t, []string{"vm-2 r-7", "vm-3 r-7.1", "vm-3 r-7", "vm-1 r-7"}, vms)
	var out strings.Builder
	must.NoError(t, report.WriteText(&out))
	for _, want := range []string{"answered 200 after 120.5ms, entry vm-1", "attempt 2: vm-3 far", "outcome: gate_busier", "(call r-7.1)"} {
		test.StrContains(t, out.String(), want)
	}
}

func TestReadOfAnUnknownRequest(t *testing.T) {
	_, err := Read("r-8", strings.NewReader(entryLog))
	must.Error(t, err)
	test.StrContains(t, err.Error(), "r-8")
}

// TestReadWithoutTheEntryLine: lines of executors alone make a report, too.
func TestReadWithoutTheEntryLine(t *testing.T) {
	report, err := Read("r-7", strings.NewReader(executorLog))
	must.NoError(t, err)
	var out strings.Builder
	must.NoError(t, report.WriteText(&out))
	test.StrContains(t, out.String(), "the line of its entry is missing")
}

func FuzzRead(f *testing.F) {
	f.Add(entryLog)
	f.Add(executorLog)
	f.Add(`ts=x request=r-7 attempts="`)
	f.Fuzz(func(_ *testing.T, text string) { _, _ = Read("r-7", strings.NewReader(text)) })
}
