package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rushramp/rushramp/pkg/loopback"
	"github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/test/faultproxy"
)

// addresses allocates loopback addresses for all scenarios, which run in
// parallel.
var addresses loopback.Allocator

// waitTimeout limits each wait for a condition.
const waitTimeout = 30 * time.Second

type scenarioKey struct{}

// scenario holds what one scenario has started.
type scenario struct {
	work     string
	env      func(string) string
	platform string
	workers  map[string]*worker
	procs    []*process
	// last is the answer to the last call.
	last  *answer
	loads map[string]*load
	// slowCall is the call that slowcall has begun.
	slowCall *slowCall
	// unlisted names the workers that are omitted from the platform's list.
	unlisted []string
	// authority signs certificates; nil without TLS.
	authority *certAuthority
}

// worker is a VM with a daemon and a stand-in for its backend server.
type worker struct {
	vm      store.VM
	address loopback.VM
	daemon  *process
	backend *process
	// proxy forwards other daemons' links to the daemon and injects network
	// faults.
	proxy *faultproxy.Proxy
}

// answer is the result of a call.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func setup(env *testscript.Env) error {
	sc := &scenario{work: env.WorkDir, workers: map[string]*worker{}, loads: map[string]*load{}}
	env.Values[scenarioKey{}] = sc
	env.Defer(sc.stop)
	return nil
}

func scenarioOf(ts *testscript.TestScript) *scenario {
	sc := ts.Value(scenarioKey{}).(*scenario)
	sc.env = ts.Getenv
	return sc
}

// process is a process started by a scenario. done is closed when it has ended.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// program returns the path of one of the project's programs, found in the
// scenario's PATH.
func (sc *scenario) program(name string) string {
	for _, dir := range filepath.SplitList(sc.env("PATH")) {
		if _, err := os.Stat(filepath.Join(dir, name)); err == nil {
			return filepath.Join(dir, name)
		}
	}
	return name
}

// start starts one of the project's programs. The process is killed at the end
// of the scenario.
func (sc *scenario) start(ts *testscript.TestScript, name string, args ...string) *process {
	p := &process{cmd: exec.Command(sc.program(name), args...), done: make(chan struct{})}
	p.log = filepath.Join(sc.work, fmt.Sprintf("%s-%d.log", name, len(sc.procs)))
	file, err := os.Create(p.log)
	ts.Check(err)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	// Programs in this PATH are the test binary itself, see TestMain.
	p.cmd.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"))
	ts.Check(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = file.Close()
		close(p.done)
	}()
	sc.procs = append(sc.procs, p)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stopped reports whether all threads of the process are in the stopped state.
func (p *process) stopped() bool {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			continue
		}
		_, state, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(tasks) > 0
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (sc *scenario) stop() {
	for _, l := range sc.loads {
		l.end()
	}
	for _, w := range sc.workers {
		w.proxy.Close()
	}
	for _, p := range sc.procs {
		if !p.ended() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

// waitFor polls until ready returns true. It fails the scenario after
// waitTimeout.
func waitFor(ts *testscript.TestScript, what string, ready func() bool) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ready() {
			return
		}
	}
	ts.Fatalf("timed out waiting for %s", what)
}

// isListening reports whether an address accepts TCP connections.
func isListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func get(url string) (string, int) {
	resp, err := http.Get(url)
	if err != nil {
		return "", 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return string(body), resp.StatusCode
}

func post(ts *testscript.TestScript, url string, value any) {
	data, err := json.Marshal(value)
	ts.Check(err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	ts.Check(err)
	_ = resp.Body.Close()
	if resp.StatusCode >= 300 {
		ts.Fatalf("%s returned status %d", url, resp.StatusCode)
	}
}

// publishVMs sets the platform's list of VMs.
func (sc *scenario) publishVMs(ts *testscript.TestScript) {
	var vms []store.VM
	for name, w := range sc.workers {
		if !slices.Contains(sc.unlisted, name) {
			vms = append(vms, w.vm)
		}
	}
	post(ts, "http://"+sc.platform+"/control/vms", vms)
}

func (sc *scenario) worker(ts *testscript.TestScript, name string) *worker {
	w := sc.workers[name]
	if w == nil {
		ts.Fatalf("unknown worker %q", name)
	}
	return w
}

// runs returns how often calls ran whose id begins with prefix, at one worker's
// backend server or at "any".
func (sc *scenario) runs(worker, prefix string) int {
	total := 0
	for name, w := range sc.workers {
		if worker != "any" && worker != name {
			continue
		}
		text, _ := get("http://" + w.address.Address(loopback.PortBackend) + "/standin/ledger")
		runs := map[string]backend.Run{}
		if json.Unmarshal([]byte(text), &runs) != nil {
			continue
		}
		for id, run := range runs {
			if strings.HasPrefix(id, prefix) {
				total += run.Times
			}
		}
	}
	return total
}

// send sends a call to a worker's daemon.
func (sc *scenario) send(to *worker, method, service, path, id string, headers map[string]string, body string) *answer {
	req, err := http.NewRequest(method, "http://"+to.vm.Callers+path, strings.NewReader(body))
	if err != nil {
		return &answer{err: err}
	}
	req.Header.Set("Rushramp-Service", service)
	req.Header.Set(backend.HeaderCallID, id)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := sender.Do(req)
	if err != nil {
		return &answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return &answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// sender does not follow redirects, because scenarios check them.
var sender = &http.Client{
	Timeout:       waitTimeout,
	Transport:     &http.Transport{MaxIdleConnsPerHost: 100},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// load sends calls in the background at a constant rate and counts the answers.
type load struct {
	stop chan struct{}
	wait sync.WaitGroup

	mu       sync.Mutex
	answered int
	refused  int
	unknown  int
	// refusals counts the refused calls by their error kind and detail.
	refusals map[string]int
}

func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wait.Wait()
}

func (l *load) record(a *answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.err == nil && a.header.Get("Rushramp-Error") == "" && a.status == http.StatusOK:
		l.answered++
	case a.err == nil && a.header.Get("Rushramp-Ran") == "no":
		l.refused++
		if l.refusals == nil {
			l.refusals = map[string]int{}
		}
		l.refusals[a.header.Get("Rushramp-Error")+": "+a.body]++
	default:
		l.unknown++
	}
}
