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

// failAndCountDials makes all dials of a daemon fail, and counts them by address.
func failAndCountDials(env *Env) map[string]int {
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

func TestDialLimiterBoundsDialsPerWindow(t *testing.T) {
	d := newDialLimiter()
	endpoints := make([]*tables.Endpoint, maxDialsPerWindow+1)
	for i := range endpoints {
		endpoints[i] = &tables.Endpoint{}
	}
	for _, endpoint := range endpoints[:maxDialsPerWindow] {
		test.True(t, d.tryBegin(1, endpoint))
	}
	last := endpoints[maxDialsPerWindow]
	test.False(t, d.tryBegin(2, last))
	test.True(t, d.deferred)
	test.False(t, d.tryBegin(int64(dialWindow), last))
	test.True(t, d.tryBegin(1+int64(dialWindow), last), test.Sprint("dials that hang do not count"))
	test.False(t, d.tryBegin(2+int64(dialWindow), endpoints[0]), test.Sprint("it is being dialled"))
	d.end(endpoints[0])
	test.True(t, d.tryBegin(2+int64(dialWindow), endpoints[0]))
}

// TestStartingDaemonDialsAFewOfEachServiceFirst uses four services of thirty backend
// servers each: about four of each must be among the first sixteen dials, and all 120
// must be dialled in the end.
func TestStartingDaemonDialsAFewOfEachServiceFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		dialled := failAndCountDials(env)
		doc := &placement.Document{Version: 1}
		for s := range 4 {
			service := fmt.Sprint("s", s)
			doc.Services = append(doc.Services, placement.Service{
				Name: service, Kinds: []placement.Kind{{Name: "k", Path: "/*", DataCentres: []string{"here"}}},
			})
			env.World.RequestedServices[service] = struct{}{}
			for n := range 30 {
				env.World.Members.Merge(1, nil, wire.Member{
					VM: fmt.Sprint(service, n), DataCentre: "here", Service: service, LinkAddress: service,
				})
			}
		}
		env.World.View.SetPlacement(placement.Compile(doc))
		l := &links{Env: env}
		l.Tick(env.Now(), &tables.Mail{})
		synctest.Wait()
		for s := range 4 {
			// The sample, which ignores services, may use some of the sixteen dials.
			test.Between(t, 3, dialled[fmt.Sprint("s", s, ":80")], 5)
		}
		for range 20 {
			time.Sleep(dialWindow)
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
