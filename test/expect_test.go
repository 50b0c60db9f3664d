package test

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdExpect compares an actual value with the expected one: of the last answer, a
// ledger, a daemon's state, a metric or a load.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, false, args, 2, "[!] expect status|error|ran|header|body|runs|ended|member|metric|load ...")
	holds, got := evaluate(ts, scenarioOf(ts), args)
	if holds == neg {
		ts.Fatalf("expect %v: got %s", args, got)
	}
}

// cmdEventually waits until an expectation holds. A call after "--" is sent
// again before each check.
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "eventually EXPECTATION [-- call ...]")
	sc := scenarioOf(ts)
	var callWords []string
	for i, word := range args {
		if word == "--" {
			callWords = args[i+2:]
			args = args[:i]
			break
		}
	}
	waitFor(ts, strings.Join(args, " "), func() bool {
		if callWords != nil {
			c := parseCall(ts, sc, callWords)
			sc.last = sc.send(c.to, c.method, c.service, c.path, c.id, c.headers, c.body)
		}
		holds, _ := evaluate(ts, sc, args)
		return holds
	})
}

// evaluate reports whether an expectation holds, and returns the actual value.
func evaluate(ts *testscript.TestScript, sc *scenario, args []string) (holds bool, got string) {
	switch args[0] {
	case "status":
		got = fmt.Sprint(sc.last.status, " ", sc.last.err, " ", sc.last.header, " ", sc.last.body)
		return strconv.Itoa(sc.last.status) == args[1], got
	case "error":
		got = sc.last.header.Get("Rushramp-Error")
		return got == args[1], fmt.Sprint(got, " ", sc.last.body, sc.last.err)
	case "ran":
		got = sc.last.header.Get("Rushramp-Ran")
		return got == args[1], got
	case "header":
		got = sc.last.header.Get(args[1])
		return strings.Contains(got, args[2]), got
	case "body":
		return strings.Contains(sc.last.body, args[1]), sc.last.body
	case "runs":
		n := sc.runs(args[1], args[2])
		return strconv.Itoa(n) == args[3], strconv.Itoa(n)
	case "ended":
		return sc.worker(ts, args[1]).daemon.ended(), "still running"
	case "member":
		got = sc.memberState(ts, args[1], args[2])
		return got == args[3], got
	case "metric":
		got = strconv.FormatFloat(sc.worker(ts, args[1]).metric(args[2]), 'g', -1, 64)
		if args[3] == ">" {
			return compare(ts, sc.worker(ts, args[1]).metric(args[2]), args[3:]), got
		}
		return got == args[3], got
	case "load":
		return expectLoad(ts, sc, args[1:])
	}
	ts.Fatalf("unknown expectation %q", args[0])
	return false, ""
}

func expectLoad(ts *testscript.TestScript, sc *scenario, args []string) (bool, string) {
	l := sc.load(ts, args[0])
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{"answered": l.answered, "refused": l.refused, "unknown": l.unknown}
	return compare(ts, float64(counts[args[1]]), args[2:]), fmt.Sprintf("%+v, refusals: %+v", counts, l.refusals)
}

// compare compares a number with the words "= N" or "> N".
func compare(ts *testscript.TestScript, got float64, words []string) bool {
	want, err := strconv.Atoi(words[1])
	ts.Check(err)
	switch words[0] {
	case "=":
		return got == float64(want)
	case ">":
		return got > float64(want)
	}
	ts.Fatalf("the comparison must be = or >")
	return false
}
