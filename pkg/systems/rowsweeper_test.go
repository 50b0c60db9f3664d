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

// sweptEnv is a daemon that sweeps a stand-in of the store.
func sweptEnv(t *testing.T) (*rowSweeper, *fakestore.Store) {
	env, platform := testEnv(), fakestore.New()
	env.DaemonContext, env.Platform, env.Backend = t.Context(), platform, backend.NewLifecycle(true, nil)
	return newDepartureSweep(env), platform
}

func rowsOfDepartures(t *testing.T, platform *fakestore.Store) int {
	rows, err := platform.Scan(t.Context(), departurePrefix, departurePrefix, 1<<20)
	must.NoError(t, err)
	return len(rows)
}

// TestTheRowsOfDeparturesStayBounded: a day of 5,800 replacements leaves the rows of
// a few minutes, none of them younger than departures are remembered.
func TestTheRowsOfDeparturesStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, platform := sweptEnv(t)
		const replacements = 5800
		pause := 24 * time.Hour / replacements
		most := 0
		for n := range replacements {
			s.SaveDeparture(t.Context(), backend.Incarnation{ID: fmt.Sprint("i-", n)})
			mail := s.World.Inbox.Take()
			s.Tick(s.Now(), &mail)
			synctest.Wait()
			most = max(most, rowsOfDepartures(t, platform))
			time.Sleep(pause)
		}
		perSweep := int(departureSweepEvery / pause)
		test.Between(t, perSweep, most, 2*perSweep+3)
	})
}

// TestASweepTakesNoRowThatIsNew: nor one that was written again meanwhile.
func TestASweepTakesNoRowThatIsNew(t *testing.T) {
	s, platform := sweptEnv(t)
	s.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-1"})
	deleted, err := s.sweep(t.Context())
	must.NoError(t, err)
	test.Eq(t, 0, deleted)
	s.SaveDeparture(t.Context(), backend.Incarnation{ID: "i-2"})
	deleted, err = s.sweep(t.Context())
	must.NoError(t, err)
	test.Eq(t, 1, deleted)
	test.Eq(t, 1, rowsOfDepartures(t, platform))
}

// TestASweepThatFailsIsMadeUpFor: rows stay while the store is away or its answers
// are lost, and go afterwards.
func TestASweepThatFailsIsMadeUpFor(t *testing.T) {
	s, platform := sweptEnv(t)
	const rows = 3 * rowsSwept
	for n := range rows {
		s.SaveDeparture(t.Context(), backend.Incarnation{ID: fmt.Sprint("i-", n)})
	}
	_, err := s.sweep(t.Context())
	must.NoError(t, err)
	platform.SetFaults(fakestore.Faults{Down: true})
	_, err = s.sweep(t.Context())
	must.Error(t, err)
	platform.SetFaults(fakestore.Faults{})
	must.Eq(t, rows, rowsOfDepartures(t, platform))
	platform.SetFaults(fakestore.Faults{LoseAnswers: 1})
	_, err = s.sweep(t.Context())
	must.Error(t, err)
	platform.SetFaults(fakestore.Faults{})
	for range 2 {
		_, err = s.sweep(t.Context())
		must.NoError(t, err)
	}
	test.Eq(t, 0, rowsOfDepartures(t, platform))
}

// TestOneDaemonOfADataCentreSweeps: of twenty, each of which knows all others.
func TestOneDaemonOfADataCentreSweeps(t *testing.T) {
	const daemons = 20
	fleet := spreadFleet(daemons)
	sweepers := 0
	for n := range daemons {
		fleet.World.VM, fleet.World.DataCentre = fmt.Sprint("here", n), "here"
		if fleet.rankInDataCentre() == 0 {
			sweepers++
		}
	}
	test.Eq(t, 1, sweepers)
}
