package systems

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/runner"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// holding is a daemon that passes on and keeps what is held back.
type holding struct {
	*Env
	system *quarantines
}

func newHolding(t *testing.T, platform *fakestore.Store, first bool) *holding {
	env := testEnv()
	env.Settings.Platform.FirstStart = first
	env.DaemonContext, env.Platform, env.RoutedRunner = t.Context(), platform, &runner.Runner{}
	return &holding{env, newQuarantines(env)}
}

// tick runs the system, and what it started, to its end.
func (h *holding) tick() {
	for range 2 {
		mail := h.World.Inbox.Take()
		h.system.Tick(h.Now(), &mail)
		for _, query := range mail.Queries {
			query(h.World)
		}
		synctest.Wait()
	}
}

// hear makes the daemon hear of what another one knows.
func (h *holding) hear(from *holding) {
	all := from.Quarantine.Snapshot(from.Now())
	said := &wire.Quarantine{Crashes: all.Crashes, Completions: all.Completions, Informed: from.system.informed}
	h.Control.Quarantine(nil, said)
	h.tick()
}

func (h *holding) holds(content quarantine.Fingerprint) bool {
	_, held := h.Quarantine.Held(h.Now(), content)
	return held
}

func rowsHeld(t *testing.T, platform *fakestore.Store) []store.Row {
	rows, err := platform.Scan(t.Context(), heldKeyPrefix, heldKeyPrefix, 1000)
	must.NoError(t, err)
	return rows
}

// TestWhatIsHeldOutlivesAllDaemons: two daemons see a crash each, both restart, and a
// third one that nobody told reads the row.
func TestWhatIsHeldOutlivesAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		one, two := newHolding(t, platform, true), newHolding(t, platform, true)
		one.Quarantine.RecordCrash(one.Now(), 1, []quarantine.Fingerprint{7, 8})
		one.tick()
		two.hear(one)
		test.Len(t, 0, rowsHeld(t, platform), test.Sprint("one crash holds nothing"))
		time.Sleep(time.Second)
		two.Quarantine.RecordCrash(two.Now(), 2, []quarantine.Fingerprint{7, 9})
		two.tick()
		must.True(t, two.holds(7))
		must.Len(t, 1, rowsHeld(t, platform))

		time.Sleep(time.Minute)
		third := newHolding(t, platform, false)
		third.tick()
		test.False(t, third.system.informed, test.Sprint("links may open first"))
		time.Sleep(heldReadFirst)
		third.tick()
		third.tick()
		test.True(t, third.system.informed)
		test.True(t, third.holds(7))
		test.False(t, third.holds(8))
		left, _ := third.Quarantine.Held(third.Now(), 7)
		test.Between(t, 8*time.Minute, left, 9*time.Minute)
		// What it read is not its own to keep.
		test.Len(t, 1, rowsHeld(t, platform))
	})
}

// TestARowIsWrittenOnceTheStoreAnswers and read as soon.
func TestARowIsWrittenOnceTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		platform.SetFaults(fakestore.Faults{Down: true})
		one, late := newHolding(t, platform, true), newHolding(t, platform, false)
		for id := range uint64(2) {
			one.Quarantine.RecordCrash(one.Now(), id+1, []quarantine.Fingerprint{7})
		}
		for range 40 {
			one.tick()
			late.tick()
			time.Sleep(500 * time.Millisecond)
		}
		test.False(t, late.system.informed)
		platform.SetFaults(fakestore.Faults{})
		time.Sleep(2 * heldKeepRest)
		one.tick()
		must.Len(t, 1, rowsHeld(t, platform))
		time.Sleep(2 * heldReadRestMost)
		late.tick()
		late.tick()
		test.True(t, late.holds(7))
	})
}

// TestARunToItsEndTakesTheRowAway, here and at those that hear of it.
func TestARunToItsEndTakesTheRowAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		one, two := newHolding(t, platform, true), newHolding(t, platform, true)
		for id := range uint64(2) {
			one.Quarantine.RecordCrash(one.Now(), id+1, []quarantine.Fingerprint{7})
		}
		one.tick()
		two.hear(one)
		must.Len(t, 1, rowsHeld(t, platform))
		must.True(t, two.holds(7))
		time.Sleep(time.Second)
		two.Quarantine.RecordCompletion(two.Now(), 7)
		two.tick()
		one.hear(two)
		time.Sleep(2 * heldKeepRest)
		one.tick()
		test.False(t, one.holds(7))
		test.Len(t, 0, rowsHeld(t, platform))
	})
}

// TestARowThatCannotBeReadHoldsNothingBack and the others hold.
func TestARowThatCannotBeReadHoldsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		one := newHolding(t, platform, true)
		for id := range uint64(2) {
			one.Quarantine.RecordCrash(one.Now(), id+1, []quarantine.Fingerprint{7})
		}
		one.tick()
		for key, value := range map[string]string{
			heldKeyPrefix + "0000000000000001": "\x00\xff", heldKeyPrefix + "0000000000000002": `{"crashes":[{"id":7,"at_ms":"x"}]}`,
			heldKeyPrefix + "0000000000000004": `{"crashes":[{"id":"1","at_ms":-9223372036854775808},{"id":"2","at_ms":-1}]}`,
			heldKeyPrefix + "not a content":    `{"crashes":[]}`, heldKeyPrefix + "0000000000000003": `{"crashes":[{"id":"zz","at_ms":1}]}`,
		} {
			must.NoError(t, platform.Transact(t.Context(), []store.Write{{Key: key, Value: []byte(value)}}))
		}
		other := newHolding(t, platform, false)
		time.Sleep(heldReadFirst)
		other.tick()
		other.tick()
		test.True(t, other.holds(7))
		test.Eq(t, 1, other.Quarantine.CountHeld(other.Now()))
	})
}

// TestAFewDaemonsReadWhatIsHeld and the others hear it from them; one that hears nothing
// reads it all the same.
func TestAFewDaemonsReadWhatIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 12
		platform := fakestore.New()
		readers := 0
		for n := range daemons {
			h := newHolding(t, platform, false)
			h.World.VM = fmt.Sprint("here", n)
			for other := range daemons {
				if other != n {
					h.World.Members.Merge(1, nil, wire.Member{VM: fmt.Sprint("here", other), Started: 1, DataCentre: "here", Service: "s"})
				}
			}
			time.Sleep(heldReadFirst)
			h.tick()
			h.tick()
			if h.system.informed {
				readers++
				continue
			}
			time.Sleep(heldReadAnyway)
			h.tick()
			h.tick()
			test.True(t, h.system.informed)
		}
		test.Eq(t, heldReaders, readers)
	})
}

// TestEachNewLinkIsToldWhatIsHeldOnce by daemons that know.
func TestEachNewLinkIsToldWhatIsHeldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		platform.SetFaults(fakestore.Faults{Down: true})
		h := newHolding(t, platform, false)
		peer := &link.Peer{Conn: link.NewClosedConn()}
		h.World.Peers.GetOrAdd(peer)
		h.tick()
		test.False(t, h.World.Peers.GetOrAdd(peer).QuarantinesSent)
		h.World.Inbox.Post(true, func(m *tables.Mail) {
			m.PeerQuarantines = append(m.PeerQuarantines, tables.PeerQuarantine{Frame: &wire.Quarantine{Informed: true}})
		})
		h.tick()
		test.True(t, h.World.Peers.GetOrAdd(peer).QuarantinesSent)
	})
}

// FuzzHeldRow: no row of another writer ends the daemon, and one that is read is told.
func FuzzHeldRow(f *testing.F) {
	f.Add("held/0000000000000007", []byte(`{"crashes":[{"id":"1f","at_ms":1760000000000}]}`))
	f.Add("held/", []byte(`{}`))
	f.Add("held/x", []byte(`[]`))
	f.Add("held/1", []byte(`{"crashes":[{"id":"1","at_ms":-9223372036854775808}]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		crashes, err := fromRow(time.UnixMilli(1760000000000), store.Row{Key: key, Value: value})
		if err != nil {
			return
		}
		table := quarantine.NewTable()
		table.Merge(1, quarantine.Update{Crashes: crashes})
		if len(table.Snapshot(1).Crashes) > len(crashes) {
			t.Fatalf("%d crashes of %d", len(table.Snapshot(1).Crashes), len(crashes))
		}
	})
}
