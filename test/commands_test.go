package test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rushramp/rushramp/pkg/loopback"
	"github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/test/faultproxy"
)

// requireArgs fails the scenario when a command is negated or has too few
// arguments.
func requireArgs(ts *testscript.TestScript, neg bool, args []string, minArgs int, usage string) {
	if neg || len(args) < minArgs {
		ts.Fatalf("usage: %s", usage)
	}
}

// cmdPlatform starts the stand-in for the platform.
func cmdPlatform(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 0, "platform")
	sc := scenarioOf(ts)
	sc.platform = addresses.Next().Address(loopback.PortPlatform)
	sc.start(ts, "rushramp-standin", "platform", "--listen", sc.platform)
	waitFor(ts, "the platform", func() bool { _, status := get("http://" + sc.platform + "/control/counts"); return status == 200 })
}

// workerSettings is the format of a worker's settings file. Its last value is the
// text of further settings.
const workerSettings = `
vm: {id: %s, region: test, data_centre: %s}
listen: {callers: %q, links: %q, operators: %q, metrics: %q}
backend_server: {service: %s, version: %q, address: %q, slots: 4, cancel_path: /standin/cancel/}
platform: {address: %q, vm_list_every: 100ms, timeout: 500ms}
placement: {head_every: 200ms, unsure_after: 3s}
once: {timeout: 300ms}
%s
`

// cmdWorker starts a daemon and its backend server. The content of the optional
// settings file is added to the daemon's settings.
func cmdWorker(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 3, "worker NAME SERVICE DATA_CENTRE [version=V] [SETTINGS_FILE]")
	sc := scenarioOf(ts)
	w := sc.workers[args[0]]
	if w == nil {
		w = sc.newWorker(ts)
		sc.workers[args[0]] = w
	}
	a := w.address
	w.vm = store.VM{
		ID: args[0], Region: "test", DataCentre: args[2], Service: args[1], State: store.VMLive,
		Links: a.Address(portProxy), Callers: a.Address(loopback.PortCallers), Slots: 4,
		Started: uint64(time.Now().UnixNano()),
	}
	extra, version := "", ""
	for _, word := range args[3:] {
		if value, ok := strings.CutPrefix(word, "version="); ok {
			version = value
			continue
		}
		extra = strings.ReplaceAll(ts.ReadFile(word), "$WORK", ts.Getenv("WORK"))
	}
	text := fmt.Sprintf(workerSettings, args[0], args[2], w.vm.Callers, a.Address(loopback.PortLinks), a.Address(loopback.PortOperators),
		a.Address(loopback.PortMetrics), args[1], version, a.Address(loopback.PortBackend), sc.platform, extra)
	file := ts.MkAbs(args[0] + ".yaml")
	ts.Check(os.WriteFile(file, []byte(text), 0o644))
	if w.backend == nil || w.backend.ended() {
		w.backend = sc.start(ts, "rushramp-standin", "backend", "--listen", a.Address(loopback.PortBackend), "--slots", "4")
	}
	sc.publishVMs(ts)
	sc.startDaemon(ts, args[0])
}

func (sc *scenario) startDaemon(ts *testscript.TestScript, name string) {
	w := sc.worker(ts, name)
	w.daemon = sc.start(ts, "rushrampd", "--settings", ts.MkAbs(name+".yaml"))
	waitFor(ts, "daemon "+name, func() bool {
		_, status := get("http://" + w.address.Address(loopback.PortMetrics) + "/healthz")
		return status == 200
	})
}

// portProxy is the links port that other daemons dial; a proxy there forwards
// to the daemon.
const portProxy = loopback.PortLinks + 5

func (sc *scenario) newWorker(ts *testscript.TestScript) *worker {
	out := &worker{address: addresses.Next()}
	proxy, err := faultproxy.Start(out.address.Address(portProxy), out.address.Address(loopback.PortLinks))
	ts.Check(err)
	out.proxy = proxy
	return out
}

// cmdNetwork sets the network faults of a worker's links; no words clear them.
func cmdNetwork(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "network WORKER [cut|hold-in|hold-out|delay=D]")
	sc := scenarioOf(ts)
	w := sc.worker(ts, args[0])
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
			ts.Fatalf("unknown network fault %q", name)
		}
	}
	w.proxy.SetFault(faultproxy.AllClients, f)
	// Links that the worker dialled itself pass through the other workers'
	// proxies, where in and out are swapped.
	reverse := f
	reverse.HoldIn, reverse.HoldOut = f.HoldOut, f.HoldIn
	for _, other := range sc.workers {
		if other != w {
			other.proxy.SetFault(w.address.IP(), reverse)
		}
	}
}

// cmdRestart starts a worker's daemon again with the same settings file.
func cmdRestart(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "restart WORKER")
	scenarioOf(ts).startDaemon(ts, args[0])
}

// cmdUnlist omits workers from the platform's list of VMs; without arguments
// all are listed again.
func cmdUnlist(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 0, "unlist [WORKER ...]")
	sc := scenarioOf(ts)
	sc.unlisted = args
	sc.publishVMs(ts)
}

// memberState returns the state that one daemon reports for another VM, or
// "gone" when it does not list the VM.
func (sc *scenario) memberState(ts *testscript.TestScript, at, of string) string {
	args := []string{"--daemon", sc.worker(ts, at).address.Address(loopback.PortOperators), "status"}
	if sc.authority != nil {
		args = append(args, "--cert", ts.MkAbs("anna.pem"), "--key", ts.MkAbs("anna.key"), "--ca", ts.MkAbs("ca.pem"))
	}
	text, err := exec.Command(sc.program("rushramp"), args...).Output()
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

// cmdPlace waits for the workers to be ready and applies a placement file
// through one of them.
func cmdPlace(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "place WORKER FILE")
	sc := scenarioOf(ts)
	w := sc.worker(ts, args[0])
	waitFor(ts, args[0]+" to be ready", func() bool {
		_, status := get("http://" + w.address.Address(loopback.PortMetrics) + "/readyz")
		return status == 200
	})
	for name, other := range sc.workers {
		// The backend server is a separate process, so the daemon beside it may
		// be ready first.
		waitFor(ts, name+"'s backend server to listen", func() bool { return isListening(other.address.Address(loopback.PortBackend)) })
		waitFor(ts, name+" to know the others", func() bool { return other.metric("rushramp_members") >= float64(len(sc.workers)) })
	}
	ts.Check(ts.Exec("rushramp", "--daemon", w.address.Address(loopback.PortOperators), "placement", "apply", args[1], "--author", "scenario"))
	// Wait for the daemons that do not know all others yet because their list of
	// VMs lags.
	for name, other := range sc.workers {
		waitFor(ts, "the placement at "+name, func() bool { return other.metric("rushramp_placement_version") > 0 })
	}
}

// metric returns the value of one of the daemon's metrics; 0 when it has none
// of that name.
func (w *worker) metric(name string) float64 {
	text, _ := get("http://" + w.address.Address(loopback.PortMetrics) + "/metrics")
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseFloat(value, 64)
			return n
		}
	}
	return 0
}

// cmdUse selects the daemon that rushramp commands connect to.
func cmdUse(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "use WORKER")
	ts.Setenv("RUSHRAMP_DAEMON", scenarioOf(ts).worker(ts, args[0]).address.Address(loopback.PortOperators))
}

// cmdObjectives writes objectives.yaml with the workers' metrics addresses.
func cmdObjectives(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "objectives WORKER...")
	sc := scenarioOf(ts)
	text := "objectives:\n  - {service: glyphserve, kind: subset, within: 5s, share: 0.99}\ndaemons:\n"
	for _, name := range args {
		text += fmt.Sprintf("  - %q\n", sc.worker(ts, name).address.Address(loopback.PortMetrics))
	}
	ts.Check(os.WriteFile(ts.MkAbs("objectives.yaml"), []byte(text), 0o644))
}

// cmdFault sets the faults of a stand-in, or with state= the VM state that the
// platform reports for a worker. Faults that are not named are cleared.
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "fault platform|WORKER [name=value ...]")
	sc := scenarioOf(ts)
	words := map[string]string{}
	for _, word := range args[1:] {
		name, value, _ := strings.Cut(word, "=")
		words[name] = value
	}
	if args[0] == "platform" {
		lose, _ := strconv.ParseFloat(words["lose"], 64)
		delay, _ := time.ParseDuration(words["delay"])
		lag, _ := time.ParseDuration(words["lag"])
		post(ts, "http://"+sc.platform+"/control/faults", fakestore.Faults{Down: words["down"] == "true", Delay: delay, LoseAnswers: lose, VMLag: lag})
		return
	}
	w := sc.worker(ts, args[0])
	if state, ok := words["state"]; ok {
		w.vm.State = store.VMState(state)
		sc.publishVMs(ts)
		return
	}
	speed, _ := strconv.ParseFloat(words["speed"], 64)
	post(ts, "http://"+w.address.Address(loopback.PortBackend)+"/standin/faults", backend.Faults{
		Speed: speed, FailFast: words["fail"] == "true", CutAnswers: words["cut"] == "true", Broken: words["broken"],
	})
}

var signals = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// cmdSignal sends a signal to a worker's daemon or backend server.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "signal WORKER TERM|KILL|STOP|CONT [backend]")
	w := scenarioOf(ts).worker(ts, args[0])
	p := w.daemon
	if len(args) > 2 && args[2] == "backend" {
		p = w.backend
	}
	p.signal(signals[args[1]])
	switch args[1] {
	case "KILL":
		<-p.done
	case "STOP":
		// The process runs on for a moment after the signal is sent.
		waitFor(ts, args[0]+" to be stopped", p.stopped)
	}
}
