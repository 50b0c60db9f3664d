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

// quarantineNode is a daemon that runs the quarantines system.
type quarantineNode struct {
	*Env
	system *quarantines
}

// newQuarantineNode returns a daemon that uses a fake store. isFirstStart is the setting
// for the first start of the whole system.
func newQuarantineNode(t *testing.T, platform *fakestore.Store, isFirstStart bool) *quarantineNode {
	env := testEnv()
	env.Settings.Platform.FirstStart = isFirstStart
	env.DaemonContext, env.Platform, env.RoutedRunner = t.Context(), platform, &runner.Runner{}
	return &quarantineNode{env, newQuarantines(env)}
}

// tick runs the system twice, and waits for what it started each time.
func (n *quarantineNode) tick() {
	for range 2 {
		mail := n.World.Inbox.Take()
		n.system.Tick(n.Now(), &mail)
		for _, query := range mail.Queries {
			query(n.World)
		}
		synctest.Wait()
	}
}

// receiveFrom sends the daemon all crashes and completions that another one knows.
func (n *quarantineNode) receiveFrom(from *quarantineNode) {
	all := from.Quarantine.Snapshot(from.Now())
	frame := &wire.Quarantine{Crashes: all.Crashes, Completions: all.Completions, Informed: from.system.isInformed}
	n.Control.Quarantine(nil, frame)
	n.tick()
}

func (n *quarantineNode) holds(content quarantine.Fingerprint) bool {
	_, held := n.Quarantine.Quarantined(n.Now(), content)
	return held
}

// quarantineRows returns the rows of quarantined contents in a store.
func quarantineRows(t *testing.T, platform *fakestore.Store) []store.Row {
	rows, err := platform.Scan(t.Context(), quarantineKeyPrefix, quarantineKeyPrefix, 1000)
	must.NoError(t, err)
	return rows
}

// TestHeldContentsOutliveAllDaemons: each of two daemons records a crash. A third one,
// which no peer informs, reads the row from the store.
func TestHeldContentsOutliveAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		one, two := newQuarantineNode(t, platform, true), newQuarantineNode(t, platform, true)
		one.Quarantine.RecordCrash(one.Now(), 1, []quarantine.Fingerprint{7, 8})
		one.tick()
		two.receiveFrom(one)
		test.Len(t, 0, quarantineRows(t, platform), test.Sprint("no content is held after one crash"))
		time.Sleep(time.Second)
		two.Quarantine.RecordCrash(two.Now(), 2, []quarantine.Fingerprint{7, 9})
		two.tick()
		must.True(t, two.holds(7))
		must.Len(t, 1, quarantineRows(t, platform))

		time.Sleep(time.Minute)
		third := newQuarantineNode(t, platform, false)
		third.tick()
		test.False(t, third.system.isInformed, test.Sprint("it first waits for links"))
		time.Sleep(quarantineReadAfter)
		third.tick()
		third.tick()
		test.True(t, third.system.isInformed)
		test.True(t, third.holds(7))
		test.False(t, third.holds(8))
		left, _ := third.Quarantine.Quarantined(third.Now(), 7)
		test.Between(t, 8*time.Minute, left, 9*time.Minute)
		// It does not write rows for the crashes that it has read.
		test.Len(t, 1, quarantineRows(t, platform))
	})
}

func TestRowIsWrittenAndReadAfterAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		platform.SetFaults(fakestore.Faults{Down: true})
		one, late := newQuarantineNode(t, platform, true), newQuarantineNode(t, platform, false)
		for id := range uint64(2) {
			one.Quarantine.RecordCrash(one.Now(), id+1, []quarantine.Fingerprint{7})
		}
		for range 40 {
			one.tick()
			late.tick()
			time.Sleep(500 * time.Millisecond)
		}
		test.False(t, late.system.isInformed)
		platform.SetFaults(fakestore.Faults{})
		time.Sleep(2 * quarantineWriteInterval)
		one.tick()
		must.Len(t, 1, quarantineRows(t, platform))
		time.Sleep(2 * quarantineReadDelayMax)
		late.tick()
		late.tick()
		test.True(t, late.holds(7))
	})
}

// TestCompletionDeletesTheRow, also if the daemon that writes the row receives it from
// another one.
func TestCompletionDeletesTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		one, two := newQuarantineNode(t, platform, true), newQuarantineNode(t, platform, true)
		for id := range uint64(2) {
			one.Quarantine.RecordCrash(one.Now(), id+1, []quarantine.Fingerprint{7})
		}
		one.tick()
		two.receiveFrom(one)
		must.Len(t, 1, quarantineRows(t, platform))
		must.True(t, two.holds(7))
		time.Sleep(time.Second)
		two.Quarantine.RecordCompletion(two.Now(), 7)
		two.tick()
		one.receiveFrom(two)
		time.Sleep(2 * quarantineWriteInterval)
		one.tick()
		test.False(t, one.holds(7))
		test.Len(t, 0, quarantineRows(t, platform))
	})
}

// TestInvalidRowsAreSkipped, and the valid ones are read.
func TestInvalidRowsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		one := newQuarantineNode(t, platform, true)
		for id := range uint64(2) {
			one.Quarantine.RecordCrash(one.Now(), id+1, []quarantine.Fingerprint{7})
		}
		one.tick()
		for key, value := range map[string]string{
			quarantineKeyPrefix + "0000000000000001": "\x00\xff", quarantineKeyPrefix + "0000000000000002": `{"crashes":[{"id":7,"at_ms":"x"}]}`,
			quarantineKeyPrefix + "0000000000000004": `{"crashes":[{"id":"1","at_ms":-9223372036854775808},{"id":"2","at_ms":-1}]}`,
			quarantineKeyPrefix + "not a content":    `{"crashes":[]}`, quarantineKeyPrefix + "0000000000000003": `{"crashes":[{"id":"zz","at_ms":1}]}`,
		} {
			must.NoError(t, platform.Transact(t.Context(), []store.Write{{Key: key, Value: []byte(value)}}))
		}
		other := newQuarantineNode(t, platform, false)
		time.Sleep(quarantineReadAfter)
		other.tick()
		other.tick()
		test.True(t, other.holds(7))
		test.Eq(t, 1, other.Quarantine.CountQuarantined(other.Now()))
	})
}

// TestFewDaemonsReadHeldContents: the others read them later, and only if no peer has
// sent them.
func TestFewDaemonsReadHeldContents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 12
		platform := fakestore.New()
		readers := 0
		for n := range daemons {
			node := newQuarantineNode(t, platform, false)
			node.World.VM = fmt.Sprint("here", n)
			for other := range daemons {
				if other != n {
					node.World.Members.Merge(1, nil, wire.Member{VM: fmt.Sprint("here", other), Started: 1, DataCentre: "here", Service: "s"})
				}
			}
			time.Sleep(quarantineReadAfter)
			node.tick()
			node.tick()
			if node.system.isInformed {
				readers++
				continue
			}
			time.Sleep(quarantineReadByAllAfter)
			node.tick()
			node.tick()
			test.True(t, node.system.isInformed)
		}
		test.Eq(t, quarantineReaders, readers)
	})
}

// TestOnlyAnInformedDaemonSendsCrashesOverNewLinks: a daemon that does not know the
// earlier crashes sends none over its links.
func TestOnlyAnInformedDaemonSendsCrashesOverNewLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := fakestore.New()
		platform.SetFaults(fakestore.Faults{Down: true})
		node := newQuarantineNode(t, platform, false)
		peer := &link.Peer{Conn: link.NewClosedConn()}
		node.World.Peers.GetOrAdd(peer)
		node.tick()
		test.False(t, node.World.Peers.GetOrAdd(peer).QuarantinesSent)
		node.World.Inbox.Post(true, func(m *tables.Mail) {
			m.PeerQuarantines = append(m.PeerQuarantines, tables.PeerQuarantine{Frame: &wire.Quarantine{Informed: true}})
		})
		node.tick()
		test.True(t, node.World.Peers.GetOrAdd(peer).QuarantinesSent)
	})
}

// FuzzHeldRow checks that parsing an arbitrary row does not panic, and that a table takes
// at most the parsed crashes.
func FuzzHeldRow(f *testing.F) {
	f.Add("held/0000000000000007", []byte(`{"crashes":[{"id":"1f","at_ms":1760000000000}]}`))
	f.Add("held/", []byte(`{}`))
	f.Add("held/x", []byte(`[]`))
	f.Add("held/1", []byte(`{"crashes":[{"id":"1","at_ms":-9223372036854775808}]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		crashes, err := parseQuarantineRow(time.UnixMilli(1760000000000), store.Row{Key: key, Value: value})
		if err != nil {
			return
		}
		table := quarantine.NewTable()
		table.Merge(1, quarantine.Update{Crashes: crashes})
		if len(table.Snapshot(1).Crashes) > len(crashes) {
			t.Fatalf("the table holds %d crashes, but %d were parsed", len(table.Snapshot(1).Crashes), len(crashes))
		}
	})
}
