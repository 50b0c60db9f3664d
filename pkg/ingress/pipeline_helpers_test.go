package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/forward"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// fakeRun is a call that waits for the test to end it.
type fakeRun struct {
	id   string
	done func(call.Result)
}

// backends is a backend server of one slot too many: every call runs at once,
// until the test answers it.
type fakeBackend struct {
	mu        sync.Mutex
	running   map[string]*fakeRun
	started   []string
	cancelled []string
}

func (b *fakeBackend) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := c.Routed.ID
	b.running[id] = &fakeRun{id: id, done: done}
	b.started = append(b.started, id)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cancelled = append(b.cancelled, id)
	}
}

// answer ends a run; its body is its id and the text.
func (b *fakeBackend) answer(t *testing.T, id, text string) {
	t.Helper()
	b.mu.Lock()
	run := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()
	must.NotNil(t, run, must.Sprint(id))
	run.done(call.Result{Offered: true, Answer: &call.Answer{Status: 200, Body: []byte(id + text)}})
}

// starts are the ids of the calls that have started, sorted.
func (b *fakeBackend) startedIDs() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(slices.Sorted(slices.Values(b.started)), " ")
}

func (b *fakeBackend) cancelCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.cancelled)
}

// pipelineWorld is a listener for routed requests under the fake clock, with a
// repeatable route /read/ and another one, /post/.
type pipelineEnv struct {
	t       *testing.T
	server  *Server
	backend *fakeBackend
	view    *tables.View
	listen  *pipeListener
	limits  atomic.Pointer[routing.Limits]
}

func compilePlacement(l routing.Limits, readIsRepeatable bool) *placement.Compiled {
	parts := []routing.Part{{Service: "s", Weight: 1}}
	return placement.Compile(&placement.Document{Version: 1, Limits: l, Routes: []routing.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Repeatable: readIsRepeatable, Parts: parts, Timeout: time.Minute},
		{Name: "post", Host: "h", Prefix: "/post/", Parts: parts, Timeout: time.Minute},
	}})
}

// newWorld makes a server without a listener of its own.
func newPipelineEnv(t *testing.T, bounds PipelineLimits) *pipelineEnv {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	s.Limits.PipelinedRequests, s.Limits.PipelinedBytes = bounds.MaxRequests, bounds.MaxBytes
	out := &pipelineEnv{t: t, view: &tables.View{}, backend: &fakeBackend{running: map[string]*fakeRun{}}}
	out.limits.Store(&routing.Limits{MaxBodyBytes: 1000})
	compiled := compilePlacement(*out.limits.Load(), true)
	out.view.SetPlacement(compiled)
	route := &tables.Endpoint{DataCentre: "here", Load: tables.NewLoad(100)}
	route.SetRunner(out.backend)
	kind := &tables.KindView{Kind: compiled.Service("s").Kinds[0], LinkedCandidates: []tables.Candidate{{Endpoint: route, Load: route.Load}}}
	out.view.SetService("s", tables.NewServiceView(compiled.Service("s"), []*tables.KindView{kind}))
	c := common.NewCommon(events.Discard(), &s)
	out.server = &Server{
		Common: c, headers: DefaultHeaders(), forwarder: forward.NewForwarder(c, out.view, nil),
		limits: func() routing.Limits { return *out.limits.Load() },
	}
	return out
}

var eightConcurrent = PipelineLimits{MaxRequests: 8, MaxBytes: 64 << 10}

// withPipeline runs a test against a server on pipes in memory.
func withPipeline(t *testing.T, bounds PipelineLimits, run func(t *testing.T, env *pipelineEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := newPipelineEnv(t, bounds)
		env.listen = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		env.server.serveListener(&closeOnceListener{pipeListener: env.listen})
		run(t, env)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		env.server.Close(ctx)
		synctest.Wait()
	})
}

// closedOnce lets a test stop a server that is stopped at its end again.
type closeOnceListener struct {
	*pipeListener
	once sync.Once
}

func (c *closeOnceListener) Close() error {
	c.once.Do(func() { _ = c.pipeListener.Close() })
	return nil
}

// pipelineCaller sends requests without waiting for answers, and keeps what
// comes back.
type pipelineCaller struct {
	t    *testing.T
	conn net.Conn
	mu   sync.Mutex
	got  []receivedAnswer
	// ended is how the connection ended; nil: it has not.
	ended error
}

type receivedAnswer struct {
	status int
	body   string
	closes bool
}

func (env *pipelineEnv) caller() *pipelineCaller {
	out := &pipelineCaller{t: env.t, conn: env.listen.dial().conn}
	go out.read()
	return out
}

func (c *pipelineCaller) read() {
	reader := bufio.NewReader(c.conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err == nil && resp.StatusCode == 100 {
			continue
		}
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		c.mu.Lock()
		if err != nil {
			c.ended = err
			c.mu.Unlock()
			return
		}
		c.got = append(c.got, receivedAnswer{status: resp.StatusCode, body: string(body), closes: resp.Close})
		c.mu.Unlock()
	}
}

// send writes text as one packet and waits until the server has done with it.
func (c *pipelineCaller) send(text string) {
	go func() { _, _ = io.WriteString(c.conn, text) }()
	synctest.Wait()
}

func (c *pipelineCaller) disconnect() {
	_ = c.conn.Close()
	synctest.Wait()
}

// answers is what came back, in short.
func (c *pipelineCaller) answers() string {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, a := range c.got {
		text := fmt.Sprint(a.status)
		if a.status == 200 {
			text = a.body
		}
		if a.closes {
			text += "(close)"
		}
		out = append(out, text)
	}
	if c.ended != nil {
		out = append(out, "end")
	}
	return strings.Join(out, " ")
}

func get(id string) string {
	return "GET /read/x HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: " + id + "\r\n\r\n"
}

func post(id, body string) string {
	return fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}
