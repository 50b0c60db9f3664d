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

// addresses are shared by all scenarios of this process, which run at once.
var addresses loopback.Allocator

// patience bounds each wait for a condition. It is no measure of speed.
const patience = 30 * time.Second

type worldKey struct{}

// world is what one scenario has started.
type world struct {
	work     string
	env      func(string) string
	platform string
	workers  map[string]*worker
	procs    []*process
	last     *answer
	loads    map[string]*load
	unlisted []string
	// authority signs certificates; nil without TLS.
	authority *authority
}

// worker is a daemon with a backend server's stand-in beside it.
type worker struct {
	vm      store.VM
	address loopback.VM
	daemon  *process
	backend *process
	// proxy stands before the daemon's listener for links.
	proxy *faultproxy.Proxy
}

// answer is what a call got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func setup(env *testscript.Env) error {
	w := &world{work: env.WorkDir, workers: map[string]*worker{}, loads: map[string]*load{}}
	env.Values[worldKey{}] = w
	env.Defer(w.stop)
	return nil
}

func worldOf(ts *testscript.TestScript) *world {
	w := ts.Value(worldKey{}).(*world)
	w.env = ts.Getenv
	return w
}

// process is a process that the scenario started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// program finds one of the project's programs, as the scenario's exec does.
func (wo *world) program(name string) string {
	for _, dir := range filepath.SplitList(wo.env("PATH")) {
		if _, err := os.Stat(filepath.Join(dir, name)); err == nil {
			return filepath.Join(dir, name)
		}
	}
	return name
}

// start starts one of the project's programs and ends it with the scenario.
func (wo *world) start(ts *testscript.TestScript, name string, args ...string) *process {
	p := &process{cmd: exec.Command(wo.program(name), args...), done: make(chan struct{})}
	p.log = filepath.Join(wo.work, fmt.Sprintf("%s-%d.log", name, len(wo.procs)))
	file, err := os.Create(p.log)
	ts.Check(err)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	// The test binary stands in for the program that it is started as.
	p.cmd.Env = append(os.Environ(), "PATH="+ts.Getenv("PATH"))
	ts.Check(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = file.Close()
		close(p.done)
	}()
	wo.procs = append(wo.procs, p)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stopped is true when the system says that all threads are stopped.
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

func (wo *world) stop() {
	for _, l := range wo.loads {
		l.end()
	}
	for _, n := range wo.workers {
		n.proxy.Close()
	}
	for _, p := range wo.procs {
		if !p.ended() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

// await waits for a condition, and fails the scenario when it does not come.
func await(ts *testscript.TestScript, what string, ready func() bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ready() {
			return
		}
	}
	ts.Fatalf("waited in vain for %s", what)
}

// listens is true where somebody takes connections at an address.
func listens(address string) bool {
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
		ts.Fatalf("%s answered %d", url, resp.StatusCode)
	}
}

func (wo *world) publishVMs(ts *testscript.TestScript) {
	var vms []store.VM
	for name, w := range wo.workers {
		if !slices.Contains(wo.unlisted, name) {
			vms = append(vms, w.vm)
		}
	}
	post(ts, "http://"+wo.platform+"/control/vms", vms)
}

func (wo *world) worker(ts *testscript.TestScript, name string) *worker {
	w := wo.workers[name]
	if w == nil {
		ts.Fatalf("there is no worker %q", name)
	}
	return w
}

// runs sums what the ledgers say of calls whose id begins with a prefix.
func (wo *world) runs(worker, prefix string) int {
	total := 0
	for name, w := range wo.workers {
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

// send sends one call to a worker's daemon.
func (wo *world) send(to *worker, method, service, path, id string, headers map[string]string, body string) *answer {
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

// sender does not follow redirects: scenarios look at them.
var sender = &http.Client{
	Timeout:       patience,
	Transport:     &http.Transport{MaxIdleConnsPerHost: 100},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// load is a steady stream of calls in the background.
type load struct {
	stop chan struct{}
	wait sync.WaitGroup

	mu       sync.Mutex
	answered int
	refused  int
	unknown  int
}

func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.wait.Wait()
}

func (l *load) note(a *answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.err == nil && a.header.Get("Rushramp-Error") == "" && a.status == http.StatusOK:
		l.answered++
	case a.err == nil && a.header.Get("Rushramp-Ran") == "no":
		l.refused++
	default:
		l.unknown++
	}
}
