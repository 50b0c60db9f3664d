// Package main plays the cases of the second review: it starts daemons as separate processes,
// with stand-ins of the store, the workers and the clients in this process.
package main

import (
	"bufio"
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rushramp/rushramp/platform/standin"
)

//go:embed names.txt
var namesText string

// names maps short names to the platform's names.
var names = func() map[string]string {
	out := map[string]string{}
	for line := range strings.Lines(namesText) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[key] = value
	}
	return out
}()

// The ports of a machine.
const (
	portInner    = 7620
	portOutbound = 8304
	portReady    = 8302
	portControl  = 8306
	portApp      = 8301
	portMetrics  = 7690
	portStore    = 8309
)

const (
	// memoryMB is the memory of a machine of a small deployment.
	memoryMB = 284
	// contactTime is contact-ms of the bounds.
	contactTime = 3 * time.Second
)

// world is one run of a case.
type world struct {
	dir      string
	binary   string
	record   *os.File
	recordMu sync.Mutex
	start    time.Time
	network  string
	store    *standin.Store
	storeAt  string
	machines []*machine
	seq      atomic.Int64
	broken   atomic.Int64
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that a rule was broken.
func (w *world) breakRule(format string, args ...any) {
	w.broken.Add(1)
	w.logf("BROKEN "+format, args...)
}

// machine is one machine: a worker in this process and a daemon as a process of its own.
type machine struct {
	w       *world
	name    string
	zone    string
	service string
	ip      string
	worker  *worker
	cmd     *exec.Cmd
	done    chan struct{}
}

func (m *machine) at(port int) string { return m.ip + ":" + strconv.Itoa(port) }

var zones = []string{"zone-a", "zone-b", "zone-c"}

const bounds = `seed-lag-s=3 addr-reuse-s=2 contact-ms=3000 ack-ms=4000 catch-up-s=4 drain-ms=2000 grace-s=6 loss-slack-ms=200 config-apply-ms=2000 rollback-slack-ms=250 max-stretch-ms=5000 retry-budget-ratio=0.2 budget-window-s=10 retry-budget-slack=58 recover-s=15 probes-per-s=60`

// settings returns what the template of the deploy file gives for a machine of a small
// deployment. The addresses that are 127.0.0.1 there are the machine's own here, since all
// machines share one host.
func (m *machine) settings(bootstrap bool) string {
	var b strings.Builder
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	p("vm: {id: %q, region: %q, data_centre: %q}", m.name, "region", m.zone)
	p("listen: {routed: %q, readiness: %q, announcements: %q, links: %q, callers: %q, operators: %q, metrics: %q}",
		m.at(portOutbound), m.at(portReady), m.at(portControl), m.at(portInner), m.at(7400), m.at(7402), m.at(portMetrics))
	p("backend_server: {service: %q, address: %q, slots: 12, dial_timeout: 300ms}", m.service, m.at(portApp))
	store := m.w.storeAt
	var quoted []string
	for _, bound := range strings.Fields(bounds) {
		quoted = append(quoted, strconv.Quote(bound))
	}
	p("platform: {address: %q, form: table, timeout: 2s, vm_list_every: 20s, restart_after: 300ms, first_start: %v, bounds: [%s]}", store, bootstrap, strings.Join(quoted, ","))
	p("routing: {leave_cost: 0.8, regions: {%q: region, %q: region, %q: region}}", zones[0], zones[1], zones[2])
	p("links: {heartbeat: 500ms, seeds: []}")
	p("drain: {linger: 0s, bound: 5600ms}")
	p("limits: {memory_bytes: %d000000, descriptors: 4100, max_body_bytes: 67108864}", memoryMB)
	p("tls: {plain_text_on_the_network: true}")
	p("tick: 20ms")
	return b.String()
}

func (m *machine) settingsFile() string { return filepath.Join(m.w.dir, m.name+".yaml") }

func (m *machine) writeSettings(bootstrap bool) error {
	return os.WriteFile(m.settingsFile(), []byte(m.settings(bootstrap)), 0o600)
}

// startDaemon starts the daemon of a machine with the settings of the moment.
func (m *machine) startDaemon(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.w.binary, "--settings", m.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	// The daemon ends with this process.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	go func() {
		err := cmd.Wait()
		m.w.logf("%s: daemon %d has ended: %v", m.name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.w.logf("%s: signal %v to daemon %d", m.name, s, m.cmd.Process.Pid)
	_ = m.cmd.Process.Signal(s)
}

// running reports whether the daemon has not ended.
func (m *machine) running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// statusMB returns a field of the daemon's status in units of 1,048,576 bytes.
func (m *machine) statusMB(field string) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.at(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// newWorld prepares a run. Services gives the service of each machine.
func newWorld(services []string) (*world, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{dir: dir, binary: os.Getenv("DAEMON"), record: record, start: time.Now(), store: standin.NewStore()}
	w.network = fmt.Sprintf("127.%d.%d", 64+pid>>8&63, pid&255)
	w.storeAt = w.network + ".250:" + strconv.Itoa(portStore)
	for i, service := range services {
		w.machines = append(w.machines, &machine{w: w, name: fmt.Sprintf("m-%d", i+1), zone: zones[i%3], service: service, ip: fmt.Sprintf("%s.%d", w.network, i+1)})
	}
	return w, nil
}

// listen serves a handler at an address.
func listen(address string, handler http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(l) }()
	return s, nil
}

// begin starts the store, the workers and the daemons, and waits until all are ready.
func (w *world) begin(config []byte) error {
	if _, err := listen(w.storeAt, w.store.Handler()); err != nil {
		return err
	}
	w.store.Put("op", "config", config)
	for _, m := range w.machines {
		if m.worker == nil {
			m.worker = newWorker(m, "i-"+m.name)
		}
		if err := m.worker.start(); err != nil {
			return err
		}
		if err := m.startDaemon(true); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if !until(20*time.Second, m.ready) {
			return fmt.Errorf("%s does not get ready", m.name)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// sortedKeys returns the keys of a map in their order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// until waits until a condition holds, and reports whether it does.
func until(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

// end ends all processes and removes the folder.
func (w *world) end() {
	for _, m := range w.machines {
		if m.cmd != nil && m.running() {
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, targetMS         int
	attempts                    int
}

// configuration returns the operator's configuration.
func configuration(version int, routes []route, services []string) []byte {
	rows, serviceRows := [][]any{}, [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, "h.example", r.prefix, r.kind, r.timeoutMS, r.targetMS, 1, r.attempts, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 220})
	}
	out, _ := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   map[string]any{"columns": []string{"name", "host", names["prefix"], "route-type", "timeout-ms", "target-latency-ms", "priority", "max-attempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-connections"}, "rows": serviceRows},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 8 << 20, "header-timeout-ms": 10000, "idle-timeout-ms": 30000},
	})
	return out
}

// run is a request that a worker has begun to work on.
type run struct {
	ID, Worker, Path, Caller string
	At                       time.Time
	Body                     int
}

// worker is the stand-in of a worker. It serves as PROTOCOL.md says.
type worker struct {
	m       *machine
	id      string
	address string
	born    int64
	slots   int
	mu      sync.Mutex
	runs    []run
	seq     int
	state   string
	running int
	// beatAfter is the time from the start to the first heartbeat.
	beatAfter time.Duration
	startedAt time.Time
	// answer handles a request; nil: a short answer after workTime.
	answer   func(out http.ResponseWriter, r *http.Request)
	workTime time.Duration
	// crashOn is the path of requests that end the process; onCrash is called afterwards.
	crashOn string
	onCrash func()
	crash   sync.Once
	server  *http.Server
	cancel  context.CancelFunc
}

func newWorker(m *machine, id string) *worker {
	return &worker{m: m, id: id, address: m.at(portApp), born: time.Now().UnixMilli(), slots: 12, state: "ready", workTime: 20 * time.Millisecond}
}

func (k *worker) start() error {
	server, err := listen(k.address, k)
	if err != nil {
		return err
	}
	k.server, k.startedAt = server, time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	go k.beat(ctx)
	return nil
}

// stop ends the worker's process.
func (k *worker) stop() {
	k.cancel()
	_ = k.server.Close()
}

func (k *worker) beat(ctx context.Context) {
	for wait := k.beatAfter; ; wait = beatInterval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			k.heartbeat()
		}
	}
}

// heartbeat sends a heartbeat and reports whether it was acknowledged.
func (k *worker) heartbeat() bool {
	k.mu.Lock()
	k.seq++
	body, _ := json.Marshal(map[string]any{
		"service": k.m.service, "address": k.address, "zone": k.m.zone, "version": "v1", "slots": k.slots,
		"state": k.state, "cold-remaining-ms": 0, "call-seq": k.seq, "born": k.born,
	})
	k.mu.Unlock()
	return k.post("/instances/"+k.id+"/heartbeat", body)
}

func (k *worker) post(path string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+k.m.at(portControl)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (k *worker) setHeaders(h http.Header) {
	k.mu.Lock()
	running := k.running
	k.mu.Unlock()
	h.Set(names["instance"], k.id)
	h.Set(names["load"], fmt.Sprintf("%d,0,%d,100", min(running, k.slots), k.slots))
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	k.setHeaders(out.Header())
	if r.URL.Path == "/health" {
		k.mu.Lock()
		leaving := k.state != "ready"
		k.mu.Unlock()
		if leaving {
			out.WriteHeader(503)
		}
		return
	}
	id := r.Header.Get(names["id"])
	out.Header().Set(names["id"], id)
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != k.id {
		out.WriteHeader(421)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.mu.Lock()
	k.running++
	k.m.w.logf("%s: runs %s %s %s", k.id, id, r.Method, r.RequestURI)
	k.runs = append(k.runs, run{ID: id, Worker: k.id, Path: r.URL.Path, Caller: r.Header.Get(names["caller"]), At: time.Now(), Body: len(body)})
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.running--
		k.mu.Unlock()
	}()
	if k.crashOn != "" && r.URL.Path == k.crashOn {
		k.crash.Do(func() {
			k.stop()
			go k.onCrash()
		})
		return
	}
	out.Header().Set(names["seal"], "seal-"+id)
	if k.answer != nil {
		k.answer(out, r)
		return
	}
	time.Sleep(k.workTime)
	_, _ = io.WriteString(out, "answer to "+id)
}

// allRuns returns the requests that the worker has run.
func (k *worker) allRuns() []run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.runs)
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
	took   time.Duration
}

func (w *world) nextID() string { return fmt.Sprintf("%016x", w.seq.Add(1)) }

// send sends one request on a new connection.
func (w *world) send(m *machine, method, path, body string, deadline time.Duration) (id string, a answer) {
	id = w.nextID()
	a = w.sendAs(m, id, method, path, body, deadline)
	if a.err != nil {
		w.logf("%s: sent %s %s %s; no answer after %v: %v", m.name, id, method, path, a.took.Round(time.Millisecond), a.err)
	} else {
		w.logf("%s: sent %s %s %s; answered %d after %v", m.name, id, method, path, a.status, a.took.Round(time.Millisecond))
	}
	return id, a
}

func (w *world) sendAs(m *machine, id, method, path, body string, deadline time.Duration) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", m.at(portOutbound), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c, head(id, method, path, deadline, len(body))+body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(text), header: resp.Header, err: err}
}

// head returns the head of a request.
func head(id, method, path string, deadline time.Duration, length int) string {
	out := method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + names["id"] + ": " + id + "\r\n" + names["deadline"] + ": " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if length > 0 || method != "GET" {
		out += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	return out + "\r\n"
}
