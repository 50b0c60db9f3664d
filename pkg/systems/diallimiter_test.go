package systems

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// countDials lets all dials of a daemon fail, and counts them by address.
func countDials(env *Env) map[string]int {
	var mu sync.Mutex
	dialled := map[string]int{}
	env.DialOptions = link.DialOptions{Dial: func(_ context.Context, _, address string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		dialled[address]++
		return nil, io.ErrClosedPipe
	}}
	return dialled
}

func TestDialsAreBoundedForATime(t *testing.T) {
	d := newDialLimiter()
	routes := make([]*tables.Endpoint, dialsAtOnce+1)
	for i := range routes {
		routes[i] = &tables.Endpoint{}
	}
	for _, route := range routes[:dialsAtOnce] {
		test.True(t, d.begin(1, route))
	}
	last := routes[dialsAtOnce]
	test.False(t, d.begin(2, last))
	test.True(t, d.leftOver)
	test.False(t, d.begin(int64(dialsWindow), last))
	test.True(t, d.begin(1+int64(dialsWindow), last), test.Sprint("dials that hang do not count"))
	test.False(t, d.begin(2+int64(dialsWindow), routes[0]), test.Sprint("it is being dialled"))
	d.ended(routes[0])
	test.True(t, d.begin(2+int64(dialsWindow), routes[0]))
}

// TestADaemonThatStartsDialsAFewOfEachServiceFirst: four services of thirty
// backend servers each; the first sixteen dials are four of each, and all 120
// are dialled in the end.
func TestADaemonThatStartsDialsAFewOfEachServiceFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		dialled := countDials(env)
		doc := &placement.Document{Version: 1}
		for s := range 4 {
			service := fmt.Sprint("s", s)
			doc.Services = append(doc.Services, placement.Service{
				Name: service, Kinds: []placement.Kind{{Name: "k", Path: "/*", DataCentres: []string{"here"}}},
			})
			env.World.RequestedServices[service] = struct{}{}
			for n := range 30 {
				env.World.Members.Merge(1, nil, wire.Member{
					VM: fmt.Sprint(service, n), DataCentre: "here", Service: service, Links: service,
				})
			}
		}
		env.World.View.SetPlacement(placement.Compile(doc))
		l := &links{Env: env}
		l.Tick(env.Now(), &tables.Mail{})
		synctest.Wait()
		for s := range 4 {
			// The sample, which knows no service, may hold one of the sixteen.
			test.Between(t, 3, dialled[fmt.Sprint("s", s, ":80")], 5)
		}
		for range 20 {
			time.Sleep(dialsWindow)
			l.Tick(env.Now(), &tables.Mail{})
			synctest.Wait()
		}
		all := 0
		for _, n := range dialled {
			all += n
		}
		test.GreaterEq(t, 120, all)
	})
}
