package systems

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
)

// newTestRowSweeper returns a sweeper of departures and its fake store.
func newTestRowSweeper(t *testing.T) (*rowSweeper, *fakestore.Store) {
	env, platform := testEnv(), fakestore.New()
	env.DaemonContext, env.Platform, env.Backend = t.Context(), platform, backend.NewLifecycle(true, nil)
	return newDepartureSweeper(env), platform
}

func countDepartureRows(t *testing.T, platform *fakestore.Store) int {
	rows, err := platform.Scan(t.Context(), departurePrefix, departurePrefix, 1<<20)
	must.NoError(t, err)
	return len(rows)
}

// TestDepartureRowsStayBounded checks, with 5,800 replacements in a day, that the largest
// number of rows is between those of one and two sweep intervals.
func TestDepartureRowsStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, platform := newTestRowSweeper(t)
		const replacements = 5800
		pause := 24 * time.Hour / replacements
		most := 0
		for n := range replacements {
			s.SaveDeparture(t.Context(), backend.Incarnation{ID: fmt.Sprint("i-", n)})
			mail := s.World.Inbox.Take()
			s.Tick(s.Now(), &mail)
			synctest.Wait()
			most = max(most, countDepartureRows(t, platform))
			time.Sleep(pause)
		}
		perSweep := int(departureSweepInterval / pause)
		test.Between(t, perSweep, most, 2*perSweep+3)
	})
}

// TestSweepKeepsNewRows checks that a sweep deletes only rows that the previous one has
// seen.
func TestSweepKeepsNewRows(t *testing.T) {
	s, platform := newTestRowSweeper(t)
	s.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})
	deleted, err := s.sweep(t.Context())
	must.NoError(t, err)
	test.Eq(t, 0, deleted)
	s.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-2"})
	deleted, err = s.sweep(t.Context())
	must.NoError(t, err)
	test.Eq(t, 1, deleted)
	test.Eq(t, 1, countDepartureRows(t, platform))
}

// TestLaterSweepsMakeUpForAFailedOne checks that rows remain while the store is away or
// its answers are lost, and are deleted afterwards.
func TestLaterSweepsMakeUpForAFailedOne(t *testing.T) {
	s, platform := newTestRowSweeper(t)
	const rows = 3 * deleteBatchSize
	for n := range rows {
		s.SaveDeparture(t.Context(), backend.Incarnation{ID: fmt.Sprint("i-", n)})
	}
	_, err := s.sweep(t.Context())
	must.NoError(t, err)
	platform.SetFaults(fakestore.Faults{Down: true})
	_, err = s.sweep(t.Context())
	must.Error(t, err)
	platform.SetFaults(fakestore.Faults{})
	must.Eq(t, rows, countDepartureRows(t, platform))
	platform.SetFaults(fakestore.Faults{LoseAnswers: 1})
	_, err = s.sweep(t.Context())
	must.Error(t, err)
	platform.SetFaults(fakestore.Faults{})
	for range 2 {
		_, err = s.sweep(t.Context())
		must.NoError(t, err)
	}
	test.Eq(t, 0, countDepartureRows(t, platform))
}

// TestOneDaemonOfADataCentreSweeps uses twenty daemons that know each other.
func TestOneDaemonOfADataCentreSweeps(t *testing.T) {
	const daemons = 20
	fleet := gossipFleet(daemons)
	sweepers := 0
	for n := range daemons {
		fleet.World.VM, fleet.World.DataCentre = fmt.Sprint("here", n), "here"
		if fleet.rankInDataCentre() == 0 {
			sweepers++
		}
	}
	test.Eq(t, 1, sweepers)
}
