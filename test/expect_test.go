package test

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdExpect compares the last answer, or what the ledgers say.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, false, args, 2, "[!] expect status|error|ran|header|body|runs|load ...")
	holds, got := expectation(ts, worldOf(ts), args)
	if holds == neg {
		ts.Fatalf("expect %v: got %s", args, got)
	}
}

// cmdEventually waits until an expectation holds; "eventually call ..." sends
// the call again each time.
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "eventually EXPECTATION [-- call ...]")
	w := worldOf(ts)
	var again []string
	for i, word := range args {
		if word == "--" {
			again = args[i+2:]
			args = args[:i]
			break
		}
	}
	await(ts, strings.Join(args, " "), func() bool {
		if again != nil {
			c := parseCall(ts, w, again)
			w.last = w.send(c.to, c.method, c.service, c.path, c.id, c.headers, c.body)
		}
		holds, _ := expectation(ts, w, args)
		return holds
	})
}

func expectation(ts *testscript.TestScript, w *world, args []string) (holds bool, got string) {
	switch args[0] {
	case "status":
		got = fmt.Sprint(w.last.status, " ", w.last.err, " ", w.last.header, " ", w.last.body)
		return strconv.Itoa(w.last.status) == args[1], got
	case "error":
		got = w.last.header.Get("Rushramp-Error")
		return got == args[1], fmt.Sprint(got, " ", w.last.body, w.last.err)
	case "ran":
		got = w.last.header.Get("Rushramp-Ran")
		return got == args[1], got
	case "header":
		got = w.last.header.Get(args[1])
		return strings.Contains(got, args[2]), got
	case "body":
		return strings.Contains(w.last.body, args[1]), w.last.body
	case "runs":
		n := w.runs(args[1], args[2])
		return strconv.Itoa(n) == args[3], strconv.Itoa(n)
	case "ended":
		return w.worker(ts, args[1]).daemon.ended(), "still running"
	case "member":
		got = w.memberState(ts, args[1], args[2])
		return got == args[3], got
	case "metric":
		got = strconv.FormatFloat(w.worker(ts, args[1]).metric(args[2]), 'g', -1, 64)
		if args[3] == ">" {
			return compare(ts, w.worker(ts, args[1]).metric(args[2]), args[3:]), got
		}
		return got == args[3], got
	case "load":
		return expectLoad(ts, w, args[1:])
	}
	ts.Fatalf("there is no expectation %q", args[0])
	return false, ""
}

func expectLoad(ts *testscript.TestScript, w *world, args []string) (bool, string) {
	l := w.loads[args[0]]
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{"answered": l.answered, "refused": l.refused, "unknown": l.unknown}
	return compare(ts, float64(counts[args[1]]), args[2:]), fmt.Sprintf("%+v", counts)
}

// compare holds a number against "= N" or "> N".
func compare(ts *testscript.TestScript, got float64, words []string) bool {
	want, err := strconv.Atoi(words[1])
	ts.Check(err)
	switch words[0] {
	case "=":
		return got == float64(want)
	case ">":
		return got > float64(want)
	}
	ts.Fatalf("compare with = or >")
	return false
}
