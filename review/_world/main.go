// Command world runs one case of the review: it starts the platform's store and the daemons
// as separate processes on loopback addresses, and has stand-ins of workers and clients of its
// own. Its exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed names.txt
var nameText string

//go:embed config.json
var configText string

// name returns one of the users' names.
func name(key string) string {
	for _, line := range strings.Split(nameText, "\n") {
		if k, value, ok := strings.Cut(line, " "); ok && k == key {
			return value
		}
	}
	panic("no name " + key)
}

// world holds all parts of one run.
type world struct {
	dir        string
	daemonPath string
	storeAddr  string
	store      *exec.Cmd
	machines   []*machine
	zones      map[string]string
	bounds     map[string]string
	// trouble is false for a run without the disruption.
	trouble bool

	began  time.Time
	mu     sync.Mutex
	record *os.File
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line of the record and prints it.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (w *world) seeds() []string {
	out := make([]string, 0, len(w.machines))
	for _, m := range w.machines[:min(3, len(w.machines))] {
		out = append(out, m.addr(portControl))
	}
	return out
}

// spec names a machine of a case.
type spec struct{ name, zone, service string }

// start starts the store, the daemons and the workers, and waits until all are ready.
func (w *world) start(specs []spec) error {
	if err := w.startStore(); err != nil {
		return err
	}
	for _, s := range specs {
		m := &machine{world: w, name: s.name, zone: s.zone, service: s.service, ip: w.freeIP()}
		w.machines = append(w.machines, m)
		w.zones[s.zone] = "gt-sur"
	}
	for i, m := range w.machines {
		m.worker = newWorker(m, fmt.Sprintf("i-%08x", rand.Uint32()), m.service)
		if err := m.worker.start(); err != nil {
			return err
		}
		if err := m.start(true); err != nil {
			return err
		}
		w.note("machine %d: %s at %s, zone %s, worker %s of %s", i+1, m.name, m.ip, m.zone, m.worker.id, m.service)
	}
	for _, m := range w.machines {
		if !w.wait(20*time.Second, m.ready) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	w.note("all daemons are ready")
	return nil
}

func (w *world) wait(limit time.Duration, until func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if until() {
			return true
		}
	}
	return false
}

// freeIP returns a loopback address whose ports are free.
func (w *world) freeIP() string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		if free(ip) {
			return ip
		}
	}
}

// startStore starts the project's stand-in of the platform's store, and writes the
// configuration as operators do.
func (w *world) startStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddr = l.Addr().String()
	_ = l.Close()
	w.store = exec.Command(filepath.Join("bin", "rushramp-standin"), "rows", "--listen", w.storeAddr)
	if err := w.store.Start(); err != nil {
		return err
	}
	if !w.wait(10*time.Second, func() bool { return w.putConfig(configText) == nil }) {
		return fmt.Errorf("the store does not take the configuration")
	}
	return nil
}

// putConfig writes a configuration.
func (w *world) putConfig(text string) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+w.storeAddr+"/control/rows/"+name("config-row"), bytes.NewReader([]byte(text)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// setStore sets the faults of the store's stand-in.
func (w *world) setStore(faults string) error {
	resp, err := http.Post("http://"+w.storeAddr+"/control/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	return nil
}

// served waits until a worker has run a request that a client of a machine sent. The clients
// send several at once, so that no worker is free enough for all of them.
func (w *world) served(m *machine, path string, by *worker) bool {
	return w.wait(15*time.Second, func() bool {
		var wg sync.WaitGroup
		for range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c, err := m.connect()
				if err != nil {
					return
				}
				defer c.Close()
				c.send(http.MethodPost, "orders.example", path, "one print", time.Second)
			}()
		}
		wg.Wait()
		return by.count() > 0
	})
}

// end ends all processes that this program started.
func (w *world) end() {
	for _, m := range w.machines {
		m.end()
	}
	if w.store != nil && w.store.Process != nil {
		_ = w.store.Process.Kill()
		_ = w.store.Wait()
	}
}

// maxRunTime is the longest time that a scenario may take.
const maxRunTime = 110 * time.Second

// scenario is one case. It returns whether the rule was broken, and an error if it could not run.
type scenario func(*world) (broken bool, err error)

var scenarios = map[string]scenario{}

func main() { os.Exit(runScenario()) }

func runScenario() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD")
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("kept:", dir)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	w := &world{
		dir: dir, daemonPath: filepath.Join("target", "rushrampd"), trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record,
		zones: map[string]string{}, bounds: map[string]string{"retry-budget-ratio": "0.2", "retry-budget-slack": "58", "budget-window-s": "10", "probes-per-s": "60"},
	}
	defer w.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		w.say("could not run: ended before its time, or took too long")
		w.end()
		os.Exit(2)
	}()
	broken, err := scenarios[os.Args[1]](w)
	switch {
	case err != nil:
		w.say("could not run: %v", err)
		return 2
	case broken:
		w.say("the rule was broken")
		return 1
	}
	w.say("the rule held")
	return 0
}

var errNotServed = fmt.Errorf("the first requests are not served")
