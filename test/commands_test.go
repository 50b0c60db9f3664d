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
backend_server: {service: %s, version: %q, address: %q, slots: 4, cancel_path: /standin/cancel/}
platform: {address: %q, vm_list_every: 100ms, timeout: 500ms}
placement: {head_every: 200ms, unsure_after: 3s}
once: {timeout: 300ms}
%s
`

// cmdWorker starts a daemon and its backend server. A settings file may follow.
func cmdWorker(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 3, "worker NAME SERVICE DATA_CENTRE [version=V] [SETTINGS_FILE]")
	w := worldOf(ts)
	n := w.workers[args[0]]
	if n == nil {
		n = w.newWorker(ts)
		w.workers[args[0]] = n
	}
	a := n.address
	n.vm = store.VM{
		ID: args[0], Region: "test", DataCentre: args[2], Service: args[1], State: store.VMLive,
		Links: a.Address(portProxy), Callers: a.Address(loopback.PortCallers), Slots: 4,
		Started: uint64(time.Now().UnixNano()),
	}
	extra, version := "", ""
	for _, word := range args[3:] {
		if said, ok := strings.CutPrefix(word, "version="); ok {
			version = said
			continue
		}
		extra = strings.ReplaceAll(ts.ReadFile(word), "$WORK", ts.Getenv("WORK"))
	}
	text := fmt.Sprintf(workerSettings, args[0], args[2], n.vm.Callers, a.Address(loopback.PortLinks), a.Address(loopback.PortOperators),
		a.Address(loopback.PortMetrics), args[1], version, a.Address(loopback.PortBackend), w.platform, extra)
	file := ts.MkAbs(args[0] + ".yaml")
	ts.Check(os.WriteFile(file, []byte(text), 0o644))
	if n.backend == nil || n.backend.ended() {
		n.backend = w.start(ts, "rushramp-standin", "backend", "--listen", a.Address(loopback.PortBackend), "--slots", "4")
	}
	w.publishVMs(ts)
	w.startDaemon(ts, args[0])
}

func (wo *world) startDaemon(ts *testscript.TestScript, name string) {
	n := wo.worker(ts, name)
	n.daemon = wo.start(ts, "rushrampd", "--settings", ts.MkAbs(name+".yaml"))
	await(ts, "daemon "+name, func() bool {
		_, status := get("http://" + n.address.Address(loopback.PortMetrics) + "/healthz")
		return status == 200
	})
}

// portProxy is where other daemons find a worker's links: at a proxy.
const portProxy = loopback.PortLinks + 5

func (wo *world) newWorker(ts *testscript.TestScript) *worker {
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
	n.proxy.SetFault(faultproxy.AllClients, f)
	// The links that it dialled itself pass the others' proxies, the other way
	// round.
	back := f
	back.HoldIn, back.HoldOut = f.HoldOut, f.HoldIn
	for _, other := range w.workers {
		if other != n {
			other.proxy.SetFault(n.address.IP(), back)
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
func (wo *world) memberState(ts *testscript.TestScript, at, of string) string {
	args := []string{"--daemon", wo.worker(ts, at).address.Address(loopback.PortOperators), "status"}
	if wo.authority != nil {
		args = append(args, "--cert", ts.MkAbs("anna.pem"), "--key", ts.MkAbs("anna.key"), "--ca", ts.MkAbs("ca.pem"))
	}
	text, err := exec.Command(wo.program("rushramp"), args...).Output()
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
		// A backend server's stand-in is a process of its own: the daemon beside it may
		// be ready first.
		await(ts, name+"'s backend server to listen", func() bool { return listens(other.address.Address(loopback.PortBackend)) })
		await(ts, name+" to know the others", func() bool { return other.metric("rushramp_members") >= float64(len(w.workers)) })
	}
	ts.Check(ts.Exec("rushramp", "--daemon", n.address.Address(loopback.PortOperators), "placement", "apply", args[1], "--author", "scenario"))
	// A daemon whose list of VMs lags does not know of all others yet.
	for name, other := range w.workers {
		await(ts, "the placement at "+name, func() bool { return other.metric("rushramp_placement_version") > 0 })
	}
}

// metric reads one of a daemon's metrics; 0 when it has none of this name.
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

// cmdUse makes a worker's daemon the one that rushramp talks to.
func cmdUse(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 1, "use WORKER")
	ts.Setenv("RUSHRAMP_DAEMON", worldOf(ts).worker(ts, args[0]).address.Address(loopback.PortOperators))
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
		post(ts, "http://"+w.platform+"/control/faults", fakestore.Faults{Down: words["down"] == "true", Delay: delay, LoseAnswers: lose, VMLag: lag})
		return
	}
	n := w.worker(ts, args[0])
	if state, ok := words["state"]; ok {
		n.vm.State = store.VMState(state)
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
	switch args[1] {
	case "KILL":
		<-p.done
	case "STOP":
		// The signal takes a moment; until then the process goes on.
		await(ts, args[0]+" to be stopped", p.stopped)
	}
}
