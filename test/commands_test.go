package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rushramp/rushramp/pkg/loopback"
	"github.com/rushramp/rushramp/pkg/platform"
	"github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/standin/store"
	"github.com/rushramp/rushramp/test/faultproxy"
)

func need(ts *testscript.TestScript, neg bool, args []string, least int, usage string) {
	if neg || len(args) < least {
		ts.Fatalf("usage: %s", usage)
	}
}

// cmdPlatform starts the platform's stand-in.
func cmdPlatform(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "platform")
	w := worldOf(ts)
	w.platform = addresses.Next().Address(loopback.PortPlatform)
	w.start(ts, "rushramp-standin", "platform", "--listen", w.platform)
	await(ts, "the platform", func() bool { _, status := get("http://" + w.platform + "/control/counts"); return status == 200 })
}

const workerSettings = `
vm: {id: %s, region: test, data_centre: %s}
listen: {callers: %q, links: %q, operators: %q, metrics: %q}
backend_server: {service: %s, address: %q, slots: 4, cancel_path: /standin/cancel/}
platform: {address: %q, vm_list_every: 100ms, timeout: 500ms}
placement: {head_every: 200ms, unsure_after: 3s}
once: {timeout: 300ms}
%s
`

// cmdWorker starts a daemon and its backend server. A settings file may follow.
func cmdWorker(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 3, "worker NAME SERVICE DATA_CENTRE [SETTINGS_FILE]")
	w := worldOf(ts)
	n := w.workers[args[0]]
	if n == nil {
		n = w.newWorker(ts)
		w.workers[args[0]] = n
	}
	a := n.address
	n.vm = platform.VM{
		ID: args[0], Region: "test", DataCentre: args[2], Service: args[1], State: platform.VMLive,
		Links: a.Address(portProxy), Callers: a.Address(loopback.PortCallers), Slots: 4,
		Started: uint64(time.Now().UnixNano()),
	}
	extra := ""
	if len(args) > 3 {
		extra = strings.ReplaceAll(ts.ReadFile(args[3]), "$WORK", ts.Getenv("WORK"))
	}
	text := fmt.Sprintf(workerSettings, args[0], args[2], n.vm.Callers, a.Address(loopback.PortLinks), a.Address(loopback.PortOperators),
		a.Address(loopback.PortMetrics), args[1], a.Address(loopback.PortBackend), w.platform, extra)
	file := ts.MkAbs(args[0] + ".yaml")
	ts.Check(os.WriteFile(file, []byte(text), 0o644))
	if n.backend == nil || n.backend.ended() {
		n.backend = w.start(ts, "rushramp-standin", "backend", "--listen", a.Address(loopback.PortBackend), "--slots", "4")
	}
	w.publishVMs(ts)
	w.startDaemon(ts, args[0])
}

func (self *world) startDaemon(ts *testscript.TestScript, name string) {
	n := self.worker(ts, name)
	n.daemon = self.start(ts, "rushrampd", "--settings", ts.MkAbs(name+".yaml"))
	await(ts, "daemon "+name, func() bool {
		_, status := get("http://" + n.address.Address(loopback.PortMetrics) + "/healthz")
		return status == 200
	})
}

// portProxy is where other daemons find a worker's links: at a proxy.
const portProxy = loopback.PortLinks + 5

func (self *world) newWorker(ts *testscript.TestScript) *worker {
	out := &worker{address: addresses.Next()}
	proxy, err := faultproxy.Start(out.address.Address(portProxy), out.address.Address(loopback.PortLinks))
	ts.Check(err)
	out.proxy = proxy
	return out
}

// cmdNetwork changes what befalls a worker's links; no fault puts them right.
func cmdNetwork(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "network WORKER [cut|hold-in|hold-out|delay=D]")
	w := worldOf(ts)
	n := w.worker(ts, args[0])
	var f faultproxy.Fault
	for _, word := range args[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "cut":
			f.Cut = true
		case "hold-in":
			f.HoldIn = true
		case "hold-out":
			f.HoldOut = true
		case "delay":
			d, err := time.ParseDuration(value)
			ts.Check(err)
			f.Delay = d
		default:
			ts.Fatalf("there is no fault %q", name)
		}
	}
	n.proxy.Set(faultproxy.Everybody, f)
	// The links that it dialled itself pass the others' proxies, the other way
	// round.
	back := f
	back.HoldIn, back.HoldOut = f.HoldOut, f.HoldIn
	for _, other := range w.workers {
		if other != n {
			other.proxy.Set(n.address.IP(), back)
		}
	}
}

// cmdRestart starts a daemon that has ended again, on the same VM.
func cmdRestart(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "restart WORKER")
	worldOf(ts).startDaemon(ts, args[0])
}

// cmdUnlist leaves workers out of the platform's list; none puts all back.
func cmdUnlist(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "unlist [WORKER ...]")
	w := worldOf(ts)
	w.unlisted = args
	w.publishVMs(ts)
}

// memberState is what one daemon says of another VM.
func (self *world) memberState(ts *testscript.TestScript, at, of string) string {
	args := []string{"--daemon", self.worker(ts, at).address.Address(loopback.PortOperators), "status"}
	if self.authority != nil {
		args = append(args, "--cert", ts.MkAbs("anna.pem"), "--key", ts.MkAbs("anna.key"), "--ca", ts.MkAbs("ca.pem"))
	}
	text, err := exec.Command(self.program("rushramp"), args...).Output()
	if err != nil {
		return err.Error()
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) >= 4 && fields[0] == of {
			return fields[3]
		}
	}
	return "gone"
}

// cmdPlace applies a placement file through a worker, when it can.
func cmdPlace(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "place WORKER FILE")
	w := worldOf(ts)
	n := w.worker(ts, args[0])
	await(ts, args[0]+" to be ready", func() bool {
		_, status := get("http://" + n.address.Address(loopback.PortMetrics) + "/readyz")
		return status == 200
	})
	for name, other := range w.workers {
		await(ts, name+" to know the others", func() bool { return other.metric("rushramp_members") >= float64(len(w.workers)) })
	}
	ts.Check(ts.Exec("rushramp", "--daemon", n.address.Address(loopback.PortOperators), "placement", "apply", args[1], "--author", "scenario"))
	// A daemon whose list of VMs lags does not know of all others yet.
	for name, other := range w.workers {
		await(ts, "the placement at "+name, func() bool { return other.metric("rushramp_placement_version") > 0 })
	}
}

// metric reads one of a daemon's metrics; 0 when it has none of this name.
func (self *worker) metric(name string) float64 {
	text, _ := get("http://" + self.address.Address(loopback.PortMetrics) + "/metrics")
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseFloat(value, 64)
			return n
		}
	}
	return 0
}

// cmdUse makes a worker's daemon the one that rushramp talks to.
func cmdUse(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "use WORKER")
	ts.Setenv("RUSHRAMP_DAEMON", worldOf(ts).worker(ts, args[0]).address.Address(loopback.PortOperators))
}

// callArgs are the words of a call.
type callArgs struct {
	to              *worker
	method, service string
	path, id, body  string
	headers         map[string]string
}

func parseCall(ts *testscript.TestScript, w *world, args []string) callArgs {
	out := callArgs{to: w.worker(ts, args[0]), method: args[1], service: args[2], path: args[3], headers: map[string]string{}}
	out.id = strings.TrimPrefix(args[3], "/")
	for _, word := range args[4:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "id":
			out.id = value
		case "body":
			out.body = value
		case "work":
			d, err := time.ParseDuration(value)
			ts.Check(err)
			out.headers[backend.HeaderWork] = strconv.FormatInt(d.Microseconds(), 10)
		case "answer":
			out.headers[backend.HeaderAnswer] = value
		case "key":
			out.headers["Idempotency-Key"] = value
		case "timeout":
			d, err := time.ParseDuration(value)
			ts.Check(err)
			out.headers["Rushramp-Timeout"] = strconv.FormatInt(d.Milliseconds(), 10)
		default:
			out.headers[name] = value
		}
	}
	return out
}

// cmdCall sends a call and keeps its answer for expect.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 4, "call WORKER METHOD SERVICE PATH [id= body= work= answer= key= timeout= HEADER=]")
	w := worldOf(ts)
	c := parseCall(ts, w, args)
	w.last = w.send(c.to, c.method, c.service, c.path, c.id, c.headers, c.body)
}

// cmdObjectives writes objectives.yaml with workers' metrics addresses.
func cmdObjectives(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "objectives WORKER...")
	w := worldOf(ts)
	text := "objectives:\n  - {service: glyphserve, kind: subset, within: 5s, share: 0.99}\ndaemons:\n"
	for _, name := range args {
		text += fmt.Sprintf("  - %q\n", w.worker(ts, name).address.Address(loopback.PortMetrics))
	}
	ts.Check(os.WriteFile(ts.MkAbs("objectives.yaml"), []byte(text), 0o644))
}

// cmdRaw sends bytes as they stand in a file, with $PAD for as many letters as
// asked, and ends its side of the connection: input that no client sends.
func cmdRaw(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "raw WORKER FILE [PAD]")
	w := worldOf(ts)
	text := strings.ReplaceAll(ts.ReadFile(args[1]), "\n", "\r\n")
	if len(args) > 2 {
		n, err := strconv.Atoi(args[2])
		ts.Check(err)
		text = strings.ReplaceAll(text, "$PAD", strings.Repeat("x", n))
	}
	conn, err := net.Dial("tcp", w.worker(ts, args[0]).vm.Callers)
	ts.Check(err)
	defer func() { _ = conn.Close() }()
	ts.Check(conn.SetDeadline(time.Now().Add(patience)))
	_, err = conn.Write([]byte(text))
	ts.Check(err)
	ts.Check(conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.last = &answer{err: err, header: http.Header{}}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	w.last = &answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

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
	want, err := strconv.Atoi(args[3])
	ts.Check(err)
	got := counts[args[1]]
	text := fmt.Sprintf("%+v", counts)
	switch args[2] {
	case "=":
		return got == want, text
	case ">":
		return got > want, text
	}
	ts.Fatalf("compare with = or >")
	return false, ""
}

// cmdFault changes how a stand-in misbehaves.
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "fault platform|WORKER [name=value ...]")
	w := worldOf(ts)
	words := map[string]string{}
	for _, word := range args[1:] {
		name, value, _ := strings.Cut(word, "=")
		words[name] = value
	}
	if args[0] == "platform" {
		lose, _ := strconv.ParseFloat(words["lose"], 64)
		delay, _ := time.ParseDuration(words["delay"])
		lag, _ := time.ParseDuration(words["lag"])
		post(ts, "http://"+w.platform+"/control/faults", store.Faults{Down: words["down"] == "true", Delay: delay, LoseAnswers: lose, VMLag: lag})
		return
	}
	n := w.worker(ts, args[0])
	if state, ok := words["state"]; ok {
		n.vm.State = platform.VMState(state)
		w.publishVMs(ts)
		return
	}
	speed, _ := strconv.ParseFloat(words["speed"], 64)
	post(ts, "http://"+n.address.Address(loopback.PortBackend)+"/standin/faults", backend.Faults{
		Speed: speed, FailFast: words["fail"] == "true", CutAnswers: words["cut"] == "true",
	})
}

var signals = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// cmdSignal sends a signal to a worker's daemon, or its backend server.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "signal WORKER TERM|KILL|STOP|CONT [backend]")
	n := worldOf(ts).worker(ts, args[0])
	p := n.daemon
	if len(args) > 2 && args[2] == "backend" {
		p = n.backend
	}
	p.signal(signals[args[1]])
	if args[1] == "KILL" {
		<-p.done
	}
}

// cmdLoad sends calls at a steady rate in the background, or ends that.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "load NAME stop | load NAME PER_SECOND WORKER METHOD SERVICE PATH_PREFIX [words]")
	w := worldOf(ts)
	if args[1] == "stop" {
		w.loads[args[0]].end()
		return
	}
	rate, err := strconv.Atoi(args[1])
	ts.Check(err)
	c := parseCall(ts, w, args[2:])
	l := &load{stop: make(chan struct{})}
	w.loads[args[0]] = l
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			l.wait.Add(1)
			go func() {
				defer l.wait.Done()
				id := fmt.Sprintf("%s-%d", args[0], i)
				headers := map[string]string{}
				for name, value := range c.headers {
					headers[name] = strings.ReplaceAll(value, "#", strconv.Itoa(i))
				}
				l.note(w.send(c.to, c.method, c.service, c.path, id, headers, c.body))
			}()
		}
	}()
}
