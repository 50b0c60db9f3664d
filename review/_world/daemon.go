package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"time"
)

// The ports of a machine, alike on all machines.
const (
	portInbound  = 8300
	portWorker   = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portLinks    = 7620
	portMetrics  = 7690
)

// machine is one machine: an address of its own, a daemon process and a worker.
type machine struct {
	world   *world
	name    string
	zone    string
	service string
	ip      string
	worker  *worker

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts the machine's daemon with the command of the deploy file. first is true at
// the first start of the whole system.
func (m *machine) start(first bool) error {
	if err := m.writeSettings(first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.world.daemonPath, "--settings", m.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (m *machine) settingsPath() string { return filepath.Join(m.world.dir, m.name+".yaml") }

// writeSettings lays the settings file anew, as the platform does.
func (m *machine) writeSettings(first bool) error {
	text, err := m.settings(first)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), []byte(text), 0o600)
}

// signal sends a signal to the machine's daemon.
func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// end kills the machine's daemon and waits for its end.
func (m *machine) end() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// ready reports whether the daemon says that it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// settings fills the project's template for settings as the platform does.
func (m *machine) settings(first bool) (string, error) {
	text, err := os.ReadFile(filepath.Join("platform", "rushrampd.yaml.tmpl"))
	if err != nil {
		return "", err
	}
	fields := map[string]any{
		"node-name": m.name, "region": "gt-sur", "zone": m.zone, "service": m.service, "ip": m.ip, "app-addr": m.addr(portWorker),
		"listen.outbound": m.addr(portOutbound), "listen.ready": m.addr(portReady), "listen.control": m.addr(portControl), "listen.inbound": m.addr(portInbound),
		"inner-port-range.0": fmt.Sprint(portLinks), "platform.address": m.world.storeAddr, "platform.form": "table", "bootstrap": first,
		"bounds": m.world.bounds, "zones": m.world.zones, "seeds": m.world.seeds(),
	}
	out := fill(string(text), fields)
	// Here all machines share one loopback address, which on the platform each has for itself.
	return strings.NewReplacer("127.0.0.1:7400", m.addr(7400), "127.0.0.1:7402", m.addr(7402)).Replace(out), nil
}

var (
	sectionPattern = regexp.MustCompile(`\{\{([#^])([a-z.-]+)\}\}(.*?)\{\{/[a-z.-]+\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// fill fills the gaps and sections of a template; DEPLOY.md tells how.
func fill(text string, fields map[string]any) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		inverted, value, body := parts[1] == "^", fields[parts[2]], parts[3]
		switch v := value.(type) {
		case bool:
			if v != inverted {
				return body
			}
			return ""
		case map[string]string:
			return fillEach(body, v)
		case []string:
			each := map[string]string{}
			for i, entry := range v {
				each[fmt.Sprintf("%03d", i)] = entry
			}
			return fillEach(body, each)
		}
		return ""
	})
	return gapPattern.ReplaceAllStringFunc(text, func(gap string) string {
		if value, ok := fields[gapPattern.FindStringSubmatch(gap)[1]]; ok {
			return fmt.Sprint(value)
		}
		return ""
	})
}

func fillEach(body string, entries map[string]string) string {
	keys := make([]string, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var out bytes.Buffer
	for i, key := range keys {
		comma := ","
		if i == len(keys)-1 {
			comma = ""
		}
		out.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", entries[key], "{{,}}", comma).Replace(body))
	}
	return out.String()
}

// free reports whether all ports of an address are free.
func free(ip string) bool {
	for _, port := range []int{portInbound, portWorker, portReady, portOutbound, portControl, portLinks, portMetrics, 7400, 7402} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
