package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

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

// dialBenchServer starts a server and returns a connection to it. Its backend server
// answers at once with 5 kB, the mean size of the users' answers.
func dialBenchServer(b *testing.B) net.Conn {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	view := &tables.View{}
	compiled := placement.Compile(&placement.Document{Version: 1, Routes: []routing.Route{
		{Name: "r", Host: "h", Prefix: "/p/", Repeatable: true, Parts: []routing.Part{{Service: "s", Weight: 1}}},
		{Name: "o", Host: "h", Prefix: "/o/", Parts: []routing.Part{{Service: "s", Weight: 1}}},
	}})
	view.SetPlacement(compiled)
	endpoint := &tables.Endpoint{DataCentre: "here", Load: tables.NewLoad(4)}
	body := make([]byte, 5000)
	endpoint.SetRunner(runnerFunc(func(*wire.Call, []byte) call.Result {
		return call.Result{Answer: &call.Answer{Status: 200, Body: body}}
	}))
	kind := &tables.KindView{Kind: compiled.Service("s").Kinds[0], LinkedCandidates: []tables.Candidate{{Endpoint: endpoint, Load: endpoint.Load}}}
	view.SetService("s", tables.NewServiceView(compiled.Service("s"), []*tables.KindView{kind}))
	c := common.NewCommon(events.Discard(), &s)
	server := &Server{Common: c, headers: DefaultHeaders(), forwarder: forward.NewForwarder(c, view, nil), limits: func() routing.Limits { return routing.Limits{} }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	server.serveListener(l)
	b.Cleanup(func() { server.Close(b.Context()) })
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

// benchmarkRequests sends requests on one connection, atOnce in one write, and waits for
// their answers before it sends the next ones.
func benchmarkRequests(b *testing.B, path string, atOnce int) {
	conn := dialBenchServer(b)
	reader := bufio.NewReader(conn)
	request := "GET " + path + " HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: i\r\nRushramp-Timeout: 2500\r\nAccept: */*\r\n\r\n"
	text := strings.Repeat(request, atOnce)
	b.ReportAllocs()
	for range b.N / atOnce {
		_, err := io.WriteString(conn, text)
		must.NoError(b, err)
		for range atOnce {
			resp, err := http.ReadResponse(reader, nil)
			must.NoError(b, err)
			_, err = io.Copy(io.Discard, resp.Body)
			must.NoError(b, err)
		}
	}
}

func BenchmarkRepeatableOneAtATime(b *testing.B) { benchmarkRequests(b, "/p/x", 1) }
func BenchmarkOtherOneAtATime(b *testing.B)      { benchmarkRequests(b, "/o/x", 1) }
func BenchmarkRepeatableFourAtATime(b *testing.B) {
	benchmarkRequests(b, "/p/x", 4)
}
