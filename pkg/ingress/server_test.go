package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
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

// runnerFunc is a runner whose calls end at once with the result of the function.
type runnerFunc func(c *wire.Call, body []byte) call.Result

func (f runnerFunc) Execute(c *wire.Call, body []byte, onDone func(call.Result)) func() {
	onDone(f(c, body))
	return func() {}
}

// newServer starts a Server with the route /p/ behind an http.Server, and returns it and
// its address. run answers the calls.
func newServer(t *testing.T, run runnerFunc) (*Server, string) {
	return newServerWith(t, run, func(*settings.Settings) {})
}

// newServerWith is newServer with settings that change has changed.
func newServerWith(t *testing.T, run runnerFunc, change func(*settings.Settings)) (*Server, string) {
	s := settings.Default()
	change(&s)
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	view := &tables.View{}
	compiled := placement.Compile(&placement.Document{Version: 1, Routes: []routing.Route{{
		Name: "r", Host: "h", Prefix: "/p/", Parts: []routing.Part{{Service: "s", Weight: 1}}, Timeout: time.Minute,
	}}, Limits: routing.Limits{MaxBodyBytes: 1000}})
	view.SetPlacement(compiled)
	endpoint := &tables.Endpoint{DataCentre: "here", Load: tables.NewLoad(4)}
	endpoint.SetRunner(run)
	kind := &tables.KindView{Kind: compiled.Service("s").Kinds[0], LinkedCandidates: []tables.Candidate{{Endpoint: endpoint, Load: endpoint.Load}}}
	view.SetService("s", tables.NewServiceView(compiled.Service("s"), []*tables.KindView{kind}))
	c := common.NewCommon(events.Discard(), &s)
	server := &Server{
		Common: c, headers: DefaultHeaders(), forwarder: forward.NewForwarder(c, view, nil),
		limits: func() routing.Limits { return view.Placement().Routes.Limits() },
	}
	h := httptest.NewServer(server)
	t.Cleanup(h.Close)
	return server, strings.TrimPrefix(h.URL, "http://")
}

// sendRaw sends text on a new connection and reads one answer.
func sendRaw(t *testing.T, address, text string) (*http.Response, string) {
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(body)
}

func TestHeadersAndBodiesAreForwarded(t *testing.T) {
	var seen wire.Call
	var sent string
	_, address := newServer(t, func(c *wire.Call, body []byte) call.Result {
		seen, sent = *c, string(body)
		return call.Result{Answer: &call.Answer{Status: 201, Body: []byte("done"), Headers: []wire.Header{
			{Name: "X-Seal", Value: "s1"}, {Name: "Connection", Value: "close"}, {Name: "Transfer-Encoding", Value: "chunked"},
		}}}
	})
	resp, body := sendRaw(t, address, "POST /p/x%2fy?q=1 HTTP/1.1\r\nHost: h:80\r\nRushramp-Request-Id: id-7\r\nRushramp-Timeout: 800\r\n"+
		"Rushramp-Caller: forged\r\nX-Own: v\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	test.Eq(t, 201, resp.StatusCode)
	test.Eq(t, "done", body)
	test.Eq(t, "s1", resp.Header.Get("X-Seal"))
	test.Eq(t, "id-7", resp.Header.Get("Rushramp-Request-Id"))
	test.Eq(t, 4, resp.ContentLength)
	test.Eq(t, "abcde", sent)
	test.Eq(t, "/p/x%2fy?q=1", seen.URI)
	test.Eq(t, []wire.Header{{Name: "X-Own", Value: "v"}}, seen.Headers)
	test.Between(t, 0, seen.Remaining, 800*time.Millisecond)
}

func TestRefusalStatusAndRetryAfter(t *testing.T) {
	const head = "POST /p/ HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: i\r\n"
	scenarios := []struct {
		name, text string
		result     call.Result
		status     int
		retryAfter string
	}{
		{"not run: 503 with Retry-After", head + "\r\n", call.Refused(errkind.Overloaded, "full"), 503, "0.3"},
		{"maybe run: not 503", head + "\r\n", call.Result{Refusal: errkind.New(errkind.BackendRefused, "").WithRanMaybe(), Offered: true}, 502, ""},
		{"lost", head + "\r\n", call.Refused(errkind.LinkLost, "lost"), 502, ""},
		{"no id", "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n", call.Result{}, 400, ""},
		{"no route", "GET /q/ HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: i\r\n\r\n", call.Result{}, 404, ""},
		{"timeout is not a number", head + "Rushramp-Timeout: soon\r\n\r\n", call.Result{}, 400, ""},
		{"body over the limit", head + "Content-Length: 1001\r\n\r\n", call.Result{}, 413, ""},
		{"chunks over the limit", head + "Transfer-Encoding: chunked\r\n\r\n400\r\n" + strings.Repeat("x", 1024) + "\r\n0\r\n\r\n", call.Result{}, 413, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, address := newServer(t, func(*wire.Call, []byte) call.Result { return s.result })
			resp, _ := sendRaw(t, address, s.text)
			test.Eq(t, s.status, resp.StatusCode)
			test.Eq(t, s.retryAfter, resp.Header.Get("Retry-After"))
		})
	}
}

// TestRetryAfterIsTheCallersOwn: without data, routing.retry_after with a random spread.
func TestRetryAfterIsTheCallersOwn(t *testing.T) {
	const smallest, largest = 0.225, 0.375
	_, address := newServerWith(t, func(*wire.Call, []byte) call.Result { return call.Refused(errkind.Overloaded, "full") }, func(changed *settings.Settings) {
		changed.Routing.ScheduleReturns = true
	})
	for range 5 {
		resp, _ := sendRaw(t, address, "POST /p/ HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: i\r\n\r\n")
		test.Eq(t, 503, resp.StatusCode)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		must.NoError(t, err)
		test.Between(t, smallest, seconds, largest)
	}
}

func TestStopKeepAlivesClosesTheConnectionOnEachAnswer(t *testing.T) {
	s, address := newServer(t, func(*wire.Call, []byte) call.Result {
		return call.Result{Answer: &call.Answer{Status: 200}}
	})
	text := "GET /p/ HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: i\r\n\r\n"
	resp, _ := sendRaw(t, address, text)
	test.False(t, resp.Close)
	s.StopKeepAlives()
	resp, _ = sendRaw(t, address, text)
	test.Eq(t, 200, resp.StatusCode)
	test.True(t, resp.Close)
}

func TestParseTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "800": 800 * time.Millisecond, "0.5": 500 * time.Microsecond, "0": 1,
		"3600000": maxTimeout, "3600001": maxTimeout, fmt.Sprint(1e12): maxTimeout,
	} {
		got, refusal := parseTimeout(text)
		must.Nil(t, refusal, must.Sprint(text))
		test.Eq(t, want, got, test.Sprint(text))
	}
	for _, text := range []string{"x", "-1", "NaN", "Inf", "1e999", "1 h"} {
		_, refusal := parseTimeout(text)
		test.NotNil(t, refusal, test.Sprint(text))
	}
}
