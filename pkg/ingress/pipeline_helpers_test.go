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

// fakeRun is a call that runs until the test answers it.
type fakeRun struct {
	id     string
	onDone func(call.Result)
}

// fakeBackend is a backend server without a limit of concurrent calls. Each call runs
// until the test answers it.
type fakeBackend struct {
	mu        sync.Mutex
	running   map[string]*fakeRun
	started   []string
	cancelled []string
}

func (b *fakeBackend) Execute(c *wire.Call, body []byte, onDone func(call.Result)) (cancel func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := c.Routed.ID
	b.running[id] = &fakeRun{id: id, onDone: onDone}
	b.started = append(b.started, id)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cancelled = append(b.cancelled, id)
	}
}

// answer ends the run of a request with status 200. The body is the id and suffix.
func (b *fakeBackend) answer(t *testing.T, id, suffix string) {
	t.Helper()
	b.mu.Lock()
	run := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()
	must.NotNil(t, run, must.Sprint(id))
	run.onDone(call.Result{Offered: true, Answer: &call.Answer{Status: 200, Body: []byte(id + suffix)}})
}

// startedIDs returns the sorted ids of the calls that have started, separated by spaces.
func (b *fakeBackend) startedIDs() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(slices.Sorted(slices.Values(b.started)), " ")
}

// cancelCount returns the number of runs that were cancelled.
func (b *fakeBackend) cancelCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.cancelled)
}

// pipelineEnv is a Server with a repeatable route, /read/, and one that is not repeatable,
// /post/. Both lead to a fakeBackend.
type pipelineEnv struct {
	t        *testing.T
	server   *Server
	backend  *fakeBackend
	view     *tables.View
	listener *pipeListener
	limits   atomic.Pointer[routing.Limits]
}

// compilePlacement returns a placement with the routes /read/ and /post/.
func compilePlacement(l routing.Limits, readIsRepeatable bool) *placement.Compiled {
	parts := []routing.Part{{Service: "s", Weight: 1}}
	return placement.Compile(&placement.Document{Version: 1, Limits: l, Routes: []routing.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Repeatable: readIsRepeatable, Parts: parts, Timeout: time.Minute},
		{Name: "post", Host: "h", Prefix: "/post/", Parts: parts, Timeout: time.Minute},
	}})
}

// newPipelineEnv returns an environment whose server does not listen yet.
func newPipelineEnv(t *testing.T, limits PipelineLimits) *pipelineEnv {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	s.Limits.PipelinedRequests, s.Limits.PipelinedBytes = limits.MaxRequests, limits.MaxBytes
	out := &pipelineEnv{t: t, view: &tables.View{}, backend: &fakeBackend{running: map[string]*fakeRun{}}}
	out.limits.Store(&routing.Limits{MaxBodyBytes: 1000})
	compiled := compilePlacement(*out.limits.Load(), true)
	out.view.SetPlacement(compiled)
	endpoint := &tables.Endpoint{DataCentre: "here", Load: tables.NewLoad(100)}
	endpoint.SetRunner(out.backend)
	kind := &tables.KindView{Kind: compiled.Service("s").Kinds[0], LinkedCandidates: []tables.Candidate{{Endpoint: endpoint, Load: endpoint.Load}}}
	out.view.SetService("s", tables.NewServiceView(compiled.Service("s"), []*tables.KindView{kind}))
	c := common.NewCommon(events.Discard(), &s)
	out.server = &Server{
		Common: c, headers: DefaultHeaders(), forwarder: forward.NewForwarder(c, out.view, nil),
		limits: func() routing.Limits { return *out.limits.Load() },
	}
	return out
}

// eightConcurrent allows more concurrent requests than most tests send.
var eightConcurrent = PipelineLimits{MaxRequests: 8, MaxBytes: 64 << 10}

// withPipeline runs a test against a server whose connections are in-memory pipes, under
// the fake clock of synctest.
func withPipeline(t *testing.T, limits PipelineLimits, run func(t *testing.T, env *pipelineEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := newPipelineEnv(t, limits)
		env.listener = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		env.server.serveListener(&closeOnceListener{pipeListener: env.listener})
		run(t, env)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		env.server.Close(ctx)
		synctest.Wait()
	})
}

// closeOnceListener may be closed several times: by a test that closes its server, and by
// withPipeline.
type closeOnceListener struct {
	*pipeListener
	once sync.Once
}

func (c *closeOnceListener) Close() error {
	c.once.Do(func() { _ = c.pipeListener.Close() })
	return nil
}

// pipelineCaller sends requests without waiting for answers, and records the answers.
type pipelineCaller struct {
	t        *testing.T
	conn     net.Conn
	mu       sync.Mutex
	received []receivedAnswer
	// ended is the error that ended the connection, or nil while it is open.
	ended error
}

// receivedAnswer is an answer as the caller received it.
type receivedAnswer struct {
	status    int
	body      string
	closeConn bool
}

// caller opens a connection to the server and records the answers on it.
func (env *pipelineEnv) caller() *pipelineCaller {
	out := &pipelineCaller{t: env.t, conn: env.listener.dial().conn}
	go out.read()
	return out
}

// read records answers until the connection ends.
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
		c.received = append(c.received, receivedAnswer{status: resp.StatusCode, body: string(body), closeConn: resp.Close})
		c.mu.Unlock()
	}
}

// send writes text in one piece and waits until the server cannot go on without further
// input.
func (c *pipelineCaller) send(text string) {
	go func() { _, _ = io.WriteString(c.conn, text) }()
	synctest.Wait()
}

// disconnect closes the connection and waits until the server has handled that.
func (c *pipelineCaller) disconnect() {
	_ = c.conn.Close()
	synctest.Wait()
}

// answers lists the answers so far: the body where the status is 200, the status otherwise,
// and "(close)" where the answer closes the connection. "end" follows when the connection
// has ended.
func (c *pipelineCaller) answers() string {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, a := range c.received {
		text := fmt.Sprint(a.status)
		if a.status == 200 {
			text = a.body
		}
		if a.closeConn {
			text += "(close)"
		}
		out = append(out, text)
	}
	if c.ended != nil {
		out = append(out, "end")
	}
	return strings.Join(out, " ")
}

// get returns the text of a request to the repeatable route.
func get(id string) string {
	return "GET /read/x HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: " + id + "\r\n\r\n"
}

// post returns the text of a request to the route that is not repeatable.
func post(id, body string) string {
	return fmt.Sprintf("POST /post/x HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}
