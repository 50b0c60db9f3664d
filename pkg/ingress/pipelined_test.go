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

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
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
type backends struct {
	mu        sync.Mutex
	running   map[string]*fakeRun
	started   []string
	cancelled []string
}

func (b *backends) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
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
func (b *backends) answer(t *testing.T, id, text string) {
	t.Helper()
	b.mu.Lock()
	run := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()
	must.NotNil(t, run, must.Sprint(id))
	run.done(call.Result{Offered: true, Answer: &call.Answer{Status: 200, Body: []byte(id + text)}})
}

// starts are the ids of the calls that have started, sorted.
func (b *backends) starts() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(slices.Sorted(slices.Values(b.started)), " ")
}

func (b *backends) cancels() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.cancelled)
}

// pipelineWorld is a listener for routed requests under the fake clock, with a
// repeatable route /read/ and another one, /post/.
type pipelineWorld struct {
	t       *testing.T
	server  *Server
	backend *backends
	view    *tables.View
	listen  *pipeListener
	limits  atomic.Pointer[routing.Limits]
}

func routesOf(l routing.Limits, readIsRepeatable bool) *placement.Compiled {
	parts := []routing.Part{{Service: "s", Weight: 1}}
	return placement.Compile(&placement.Document{Version: 1, Limits: l, Routes: []routing.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Repeatable: readIsRepeatable, Parts: parts, Timeout: time.Minute},
		{Name: "post", Host: "h", Prefix: "/post/", Parts: parts, Timeout: time.Minute},
	}})
}

// newWorld makes a server without a listener of its own.
func newWorld(t *testing.T, bounds Pipelining) *pipelineWorld {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	s.Limits.PipelinedRequests, s.Limits.PipelinedBytes = bounds.Requests, bounds.Bytes
	out := &pipelineWorld{t: t, view: &tables.View{}, backend: &backends{running: map[string]*fakeRun{}}}
	out.limits.Store(&routing.Limits{MaxBodyBytes: 1000})
	compiled := routesOf(*out.limits.Load(), true)
	out.view.SetPlacement(compiled)
	route := &tables.Route{DataCentre: "here", Load: tables.NewLoad(100)}
	route.SetRunner(out.backend)
	kind := &tables.KindView{Kind: compiled.Service("s").Kinds[0], Ready: []tables.Candidate{{Route: route, Load: route.Load}}}
	out.view.SetService("s", tables.NewServiceView(compiled.Service("s"), []*tables.KindView{kind}))
	c := common.NewCommon(events.Discard(), &s)
	out.server = &Server{
		Common: c, headers: DefaultHeaders(), forwarder: forward.NewForwarder(c, out.view, nil),
		limits: func() routing.Limits { return *out.limits.Load() },
	}
	return out
}

var manyBeside = Pipelining{Requests: 8, Bytes: 64 << 10}

// withPipeline runs a test against a server on pipes in memory.
func withPipeline(t *testing.T, bounds Pipelining, run func(t *testing.T, w *pipelineWorld)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, bounds)
		w.listen = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		w.server.listenOn(&closedOnce{pipeListener: w.listen})
		run(t, w)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		w.server.Close(ctx)
		synctest.Wait()
	})
}

// closedOnce lets a test stop a server that is stopped at its end again.
type closedOnce struct {
	*pipeListener
	once sync.Once
}

func (c *closedOnce) Close() error {
	c.once.Do(func() { _ = c.pipeListener.Close() })
	return nil
}

// pipelineCaller sends requests without waiting for answers, and keeps what
// comes back.
type pipelineCaller struct {
	t    *testing.T
	conn net.Conn
	mu   sync.Mutex
	got  []gotAnswer
	// ended is how the connection ended; nil: it has not.
	ended error
}

type gotAnswer struct {
	status int
	body   string
	closes bool
}

func (w *pipelineWorld) caller() *pipelineCaller {
	out := &pipelineCaller{t: w.t, conn: w.listen.dial().conn}
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
		c.got = append(c.got, gotAnswer{status: resp.StatusCode, body: string(body), closes: resp.Close})
		c.mu.Unlock()
	}
}

// send writes text as one packet and waits until the server has done with it.
func (c *pipelineCaller) send(text string) {
	go func() { _, _ = io.WriteString(c.conn, text) }()
	synctest.Wait()
}

func (c *pipelineCaller) leave() {
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

func TestRepeatableRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	for name, send := range map[string]func(c *pipelineCaller){
		"in one packet":          func(c *pipelineCaller) { c.send(get("a") + get("b") + get("c")) },
		"one after the other":    func(c *pipelineCaller) { c.send(get("a")); c.send(get("b")); c.send(get("c")) },
		"byte by byte":           func(c *pipelineCaller) { sendBytes(c, get("a")+get("b")+get("c")) },
		"cut in the second head": func(c *pipelineCaller) { c.send(get("a") + get("b")[:20]); c.send(get("b")[20:] + get("c")) },
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
				c := w.caller()
				send(c)
				test.Eq(t, "a b c", w.backend.starts())
				w.backend.answer(t, "c", "3")
				w.backend.answer(t, "b", "2")
				test.Eq(t, "", c.answers())
				w.backend.answer(t, "a", "1")
				test.Eq(t, "a1 b2 c3", c.answers())
				c.send(get("d"))
				w.backend.answer(t, "d", "4")
				test.Eq(t, "a1 b2 c3 d4", c.answers())
			})
		})
	}
}

func sendBytes(c *pipelineCaller, text string) {
	for i := range len(text) {
		c.send(text[i : i+1])
	}
}

// TestARequestThatRunsOnceRunsAlone: it waits for all before it, and nothing
// behind it starts before its answer.
func TestARequestThatRunsOnceRunsAlone(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + get("b") + post("p", "body") + get("c") + get("d") + post("q", ""))
		test.Eq(t, "a b", w.backend.starts())
		w.backend.answer(t, "b", "")
		synctest.Wait()
		test.Eq(t, "a b", w.backend.starts())
		w.backend.answer(t, "a", "")
		synctest.Wait()
		test.Eq(t, "a b p", w.backend.starts())
		w.backend.answer(t, "p", "")
		synctest.Wait()
		test.Eq(t, "a b c d p", w.backend.starts())
		w.backend.answer(t, "d", "")
		w.backend.answer(t, "c", "")
		synctest.Wait()
		w.backend.answer(t, "q", "")
		test.Eq(t, "a b p c d q", c.answers())
	})
}

// TestWhatIsBehindOneThatRunsOnceRunsSideBySide, also when all came in the
// packet of its body.
func TestWhatIsBehindOneThatRunsOnceRunsSideBySide(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(post("p", "body") + get("a") + get("b"))
		test.Eq(t, "p", w.backend.starts())
		w.backend.answer(t, "p", "")
		synctest.Wait()
		test.Eq(t, "a b p", w.backend.starts())
		w.backend.answer(t, "b", "")
		w.backend.answer(t, "a", "")
		test.Eq(t, "p a b", c.answers())
	})
}

func TestRequestsBesideOthersAreBounded(t *testing.T) {
	scenarios := map[string]struct {
		bounds Pipelining
		texts  []string
		starts string
	}{
		"by number": {Pipelining{Requests: 2, Bytes: 64 << 10}, []string{get("a"), get("b"), get("c")}, "a b"},
		"one":       {Pipelining{Requests: 1, Bytes: 64 << 10}, []string{get("a"), get("b")}, "a"},
		"by bytes":  {Pipelining{Requests: 8, Bytes: 1000}, []string{big("a"), big("b"), big("c")}, "a b"},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, s.bounds, func(t *testing.T, w *pipelineWorld) {
				c := w.caller()
				c.send(strings.Join(s.texts, ""))
				test.Eq(t, s.starts, w.backend.starts())
				w.backend.answer(t, "a", "")
				test.Eq(t, "a", c.answers())
				test.Greater(t, len(s.starts), len(w.backend.starts()))
			})
		})
	}
}

// big is a repeatable request of some 450 bytes.
func big(id string) string {
	return strings.Replace(get(id), "\r\n\r\n", "\r\nX-Pad: "+strings.Repeat("x", 430)+"\r\n\r\n", 1)
}

// TestACallerThatLeavesCancelsAllItsRuns, also with requests unread behind one
// that runs alone, none of which starts any more.
func TestACallerThatLeavesCancelsAllItsRuns(t *testing.T) {
	for name, s := range map[string]struct {
		text, starts string
		runs         int
	}{
		"side by side":             {get("a") + get("b") + get("c"), "a b c", 3},
		"unread behind one alone":  {post("p", "x") + get("a") + post("q", "x"), "p", 1},
		"waiting behind the first": {get("a") + post("p", "x") + get("b"), "a", 1},
		"a head cut in the middle": {get("a") + get("b")[:30], "a", 1},
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
				c := w.caller()
				c.send(s.text)
				test.Eq(t, s.starts, w.backend.starts())
				c.leave()
				test.Eq(t, s.runs, w.backend.cancels())
				time.Sleep(10 * time.Second)
				test.Eq(t, s.starts, w.backend.starts())
			})
		})
	}
}

// TestACallerThatLeavesBehindAFullBoundIsNoticedOnceThereIsRoom.
func TestACallerThatLeavesBehindAFullBoundIsNoticedOnceThereIsRoom(t *testing.T) {
	withPipeline(t, Pipelining{Requests: 2, Bytes: 4096}, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		var all strings.Builder
		for i := range 60 {
			all.WriteString(big(fmt.Sprint("r", i)))
		}
		c.send(all.String())
		test.Eq(t, "r0 r1", w.backend.starts())
		c.leave()
		w.backend.answer(t, "r0", "")
		w.backend.answer(t, "r1", "")
		time.Sleep(time.Second)
		test.Less(t, 10, strings.Count(w.backend.starts(), "r"))
		w.backend.mu.Lock()
		defer w.backend.mu.Unlock()
		for id := range w.backend.running {
			test.SliceContains(t, w.backend.cancelled, id)
		}
	})
}

// TestAPlannedStopAnswersAllThatWasRead: the close is said on the last answer.
func TestAPlannedStopAnswersAllThatWasRead(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + get("b") + get("c"))
		w.server.Leave()
		w.backend.answer(t, "b", "")
		w.backend.answer(t, "a", "")
		test.Eq(t, "a b", c.answers())
		w.backend.answer(t, "c", "")
		test.Eq(t, "a b c(close) end", c.answers())
	})
}

// TestNothingStartsBehindTheAnswerThatCloses: it counts as not read.
func TestNothingStartsBehindTheAnswerThatCloses(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + get("b"))
		w.server.Leave()
		c.send(post("p", "x") + get("c"))
		w.backend.answer(t, "a", "")
		w.backend.answer(t, "b", "")
		synctest.Wait()
		w.backend.answer(t, "p", "")
		test.Eq(t, "a b p(close) end", c.answers())
		test.Eq(t, "a b p", w.backend.starts())
	})
}

// TestAStopWithFullPipelinesWaitsForThem, and cuts what is left in the end.
func TestAStopWithFullPipelinesWaitsForThem(t *testing.T) {
	withPipeline(t, Pipelining{Requests: 3, Bytes: 64 << 10}, func(t *testing.T, w *pipelineWorld) {
		full, stuck, resting := w.caller(), w.caller(), w.caller()
		resting.send(get("r"))
		w.backend.answer(t, "r", "")
		full.send(get("a") + get("b") + get("c") + get("d"))
		stuck.send(get("s") + get("t"))
		var closed atomic.Bool
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			w.server.Leave()
			w.server.Close(ctx)
			closed.Store(true)
		}()
		time.Sleep(time.Second)
		test.Eq(t, "r end", resting.answers())
		for _, id := range []string{"c", "b", "a"} {
			w.backend.answer(t, id, "")
		}
		synctest.Wait()
		if strings.Contains(w.backend.starts(), "d") {
			w.backend.answer(t, "d", "")
			test.Eq(t, "a b c d(close) end", full.answers())
		} else {
			test.Eq(t, "a b c(close) end", full.answers())
		}
		test.False(t, closed.Load())
		time.Sleep(10 * time.Second)
		test.True(t, closed.Load())
		test.Eq(t, "end", stuck.answers())
		test.Eq(t, 2, w.backend.cancels())
	})
}

func TestReplacedBoundsEndAPipelineOnItsLastAnswer(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + get("b"))
		w.limits.Store(&routing.Limits{IdleTimeout: time.Hour})
		w.caller()
		synctest.Wait()
		w.backend.answer(t, "a", "")
		test.Eq(t, "a", c.answers())
		w.backend.answer(t, "b", "")
		test.Eq(t, "a b(close) end", c.answers())
		test.SliceEmpty(t, w.server.acceptor.stillOpen())
	})
}

// TestRefusalsStandInTheirPlace: what the daemon or the standard server answers
// by itself comes behind all answers before it.
func TestRefusalsStandInTheirPlace(t *testing.T) {
	const end = "\r\nHost: h\r\nRushramp-Request-Id: x\r\n"
	for name, s := range map[string]struct{ text, answers string }{
		"no id":              {"GET /read/ HTTP/1.1\r\nHost: h\r\n\r\n", "a b 400"},
		"no route":           {"GET /none/ HTTP/1.1" + end + "\r\n", "a b 404"},
		"body too large":     {"POST /post/ HTTP/1.1" + end + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), "a b 413(close) end"},
		"chunks too large":   {"POST /post/ HTTP/1.1" + end + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", "a b 413(close) end"},
		"head too large":     {"GET /read/ HTTP/1.1" + end + "X: " + strings.Repeat("x", 80_000) + "\r\n\r\n", "a b 431(close) end"},
		"bad head":           {"GET /read/ HTTP/1.1" + end + "bad line\r\n\r\n", "a b 400(close) end"},
		"two lengths":        {"POST /post/ HTTP/1.1" + end + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n12", "a b 400(close) end"},
		"unknown coding":     {"POST /post/ HTTP/1.1" + end + "Transfer-Encoding: gzip\r\n\r\n", "a b 501(close) end"},
		"no host":            {"GET /read/ HTTP/1.1\r\nRushramp-Request-Id: x\r\n\r\n", "a b 400(close) end"},
		"unknown version":    {"GET /read/ HTTP/3.0" + end + "\r\n", "a b 505(close) end"},
		"unknown expectancy": {"GET /read/ HTTP/1.1" + end + "Expect: more\r\n\r\n", "a b 417(close) end"},
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
				c := w.caller()
				c.send(get("a") + get("b") + s.text)
				test.Eq(t, "", c.answers())
				w.backend.answer(t, "b", "")
				w.backend.answer(t, "a", "")
				time.Sleep(time.Second)
				test.Eq(t, s.answers, c.answers())
				test.Eq(t, "a b", w.backend.starts())
			})
		})
	}
}

// TestAHeadCutInTheMiddleLosesNoAnswer: as with the standard server, a line
// that was cut is answered by 400 once its time is over, a missing line by
// nothing.
func TestAHeadCutInTheMiddleLosesNoAnswer(t *testing.T) {
	first := strings.Index(get("c"), "\n") + 1
	for at, want := range map[int]string{first: "a b(close) end", first + 3: "a b 400(close) end"} {
		withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
			c := w.caller()
			c.send(get("a") + get("b") + get("c")[:at])
			time.Sleep(defaultHeadTime + time.Second)
			test.Eq(t, 0, w.backend.cancels())
			w.backend.answer(t, "b", "")
			w.backend.answer(t, "a", "")
			test.Eq(t, want, c.answers())
		})
	}
}

// TestIdleTimeCountsFromTheLastAnswer: a pipeline that runs for longer than the
// idle time is not idle.
func TestIdleTimeCountsFromTheLastAnswer(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		w.limits.Store(&routing.Limits{IdleTimeout: 5 * time.Second})
		c := w.caller()
		c.send(get("a") + get("b"))
		time.Sleep(20 * time.Second)
		w.backend.answer(t, "b", "")
		w.backend.answer(t, "a", "")
		test.Eq(t, "a b", c.answers())
		time.Sleep(5 * time.Second)
		test.Eq(t, "a b", c.answers())
		time.Sleep(2 * boundSlack)
		test.Eq(t, "a b end", c.answers())
	})
}

// TestASlowReaderHoldsItsOwnRequestsOnly: answers wait, their bytes count, and
// no further request starts.
func TestASlowReaderHoldsItsOwnRequestsOnly(t *testing.T) {
	withPipeline(t, Pipelining{Requests: 8, Bytes: 5000}, func(t *testing.T, w *pipelineWorld) {
		slow := w.listen.dial()
		go func() { _, _ = io.WriteString(slow.conn, get("a")+get("b")) }()
		synctest.Wait()
		w.backend.answer(t, "b", strings.Repeat("x", 6000))
		synctest.Wait()
		go func() { _, _ = io.WriteString(slow.conn, get("c")) }()
		synctest.Wait()
		test.Eq(t, "a b", w.backend.starts())
		w.backend.answer(t, "a", "")
		synctest.Wait()
		test.Eq(t, "a b", w.backend.starts())
		other := w.caller()
		other.send(get("o"))
		w.backend.answer(t, "o", "")
		test.Eq(t, "o", other.answers())
		for _, want := range []string{"a", "b" + strings.Repeat("x", 6000)} {
			resp, err := http.ReadResponse(slow.reader, nil)
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			test.Eq(t, want, string(body))
		}
		synctest.Wait()
		test.Eq(t, "a b c o", w.backend.starts())
		_ = slow.conn.Close()
	})
}

// TestContinueIsSaidInItsPlace: a caller that asks before it sends its body is
// told to once all before is answered.
func TestContinueIsSaidInItsPlace(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.listen.dial()
		head := "POST /post/x HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: p\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
		go func() { _, _ = io.WriteString(c.conn, get("a")+get("b")+head) }()
		synctest.Wait()
		w.backend.answer(t, "b", "")
		w.backend.answer(t, "a", "")
		for _, want := range []int{200, 200, 100} {
			resp, err := http.ReadResponse(c.reader, nil)
			must.NoError(t, err)
			test.Eq(t, want, resp.StatusCode)
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		go func() { _, _ = io.WriteString(c.conn, "body") }()
		synctest.Wait()
		test.Eq(t, "a b p", w.backend.starts())
		w.backend.answer(t, "p", "")
		resp, err := http.ReadResponse(c.reader, nil)
		must.NoError(t, err)
		test.Eq(t, 200, resp.StatusCode)
		_ = c.conn.Close()
	})
}

// TestACallersCloseIsHeeded: its last request runs beside the others, and its
// answer closes.
func TestACallersCloseIsHeeded(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		last := strings.Replace(get("b"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
		c.send(get("a") + last + get("c"))
		test.Eq(t, "a b", w.backend.starts())
		w.backend.answer(t, "b", "")
		w.backend.answer(t, "a", "")
		test.Eq(t, "a b(close) end", c.answers())
		test.Eq(t, "a b", w.backend.starts())
	})
}

// TestWhatWaitedHasLessTimeLeft: a request's time counts from when it came.
func TestWhatWaitedHasLessTimeLeft(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		p := strings.Replace(post("p", ""), "Content-Length", "Rushramp-Timeout: 3000\r\nContent-Length", 1)
		c.send(get("a") + p)
		time.Sleep(4 * time.Second)
		w.backend.answer(t, "a", "")
		test.Eq(t, fmt.Sprintf("a %d", errkind.DeadlineBeforeRun.Row().Status), c.answers())
		test.Eq(t, "a", w.backend.starts())
	})
}

// TestARouteThatChangesWhileARequestWaits: it runs as the newer route says.
func TestARouteThatChangesWhileARequestWaits(t *testing.T) {
	withPipeline(t, Pipelining{Requests: 2, Bytes: 64 << 10}, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + get("b") + get("c"))
		test.Eq(t, "a b", w.backend.starts())
		w.view.SetPlacement(routesOf(routing.Limits{}, false))
		w.backend.answer(t, "a", "")
		synctest.Wait()
		test.Eq(t, "a b", w.backend.starts())
		w.backend.answer(t, "b", "")
		synctest.Wait()
		test.Eq(t, "a b c", w.backend.starts())
		w.backend.answer(t, "c", "")
		test.Eq(t, "a b c", c.answers())
	})
}

// TestAFaultEndsItsConnectionOnly.
func TestAFaultEndsItsConnectionOnly(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c, other := w.caller(), w.caller()
		c.send(get("a") + get("b"))
		other.send(get("o"))
		kind := w.view.Service("s").Match("GET", "/")
		kind.Ready[0].Route.SetRunner(panicking{})
		c.send(get("c"))
		test.Eq(t, "end", c.answers())
		test.Eq(t, 2, w.backend.cancels())
		w.backend.answer(t, "o", "")
		test.Eq(t, "o", other.answers())
	})
}

type panicking struct{}

func (panicking) Execute(*wire.Call, []byte, func(call.Result)) func() { panic("fault") }
