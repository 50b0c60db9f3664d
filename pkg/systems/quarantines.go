package systems

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// quarantines sends the crashes of backend servers and the completions of requests that
// package quarantine records to the other daemons, merges those that it receives, and
// saves quarantined contents in the store. Without the store, daemons that all lose power
// at once would forget the crashes, and the same requests would crash their backend
// servers again. Source: docs/design/quarantine.md.
type quarantines struct {
	*Env
	// isInformed is true once this daemon has received the crashes that other daemons
	// knew before its start.
	isInformed bool
	// sentAtAddedCount is the value of Peers.AddedCount when all crashes and completions
	// were last sent over the new links.
	sentAtAddedCount uint64
	// loggedQuarantined are the contents that were last logged as quarantined.
	loggedQuarantined map[quarantine.Fingerprint]struct{}
	// ownRows are the contents that ran when this VM's backend server crashed. This
	// daemon writes their rows in the store.
	ownRows map[quarantine.Fingerprint]*quarantineRow
	// writing is true while a row is written, writeTimer is due when the next may be.
	writing    bool
	writeTimer intervalTimer
	// reading is true while the rows are read, readTimer is due when they may be read
	// again, and readDelay is the mean delay after that read.
	reading   atomic.Bool
	readTimer intervalTimer
	readDelay time.Duration
	// releaseCheckTimer is due when to check again whether quarantined contents may run
	// again.
	releaseCheckTimer intervalTimer
}

// releaseCheckInterval is the time between two checks whether quarantined contents may run
// again.
const releaseCheckInterval = time.Second

func newQuarantines(env *Env) *quarantines {
	q := &quarantines{
		Env: env, isInformed: env.Settings.Platform.FirstStart, readDelay: quarantineReadDelay,
		loggedQuarantined: map[quarantine.Fingerprint]struct{}{}, ownRows: map[quarantine.Fingerprint]*quarantineRow{},
	}
	env.Quarantine.OnUpdate(func() { env.World.Inbox.Post(true, func(*tables.Mail) {}) })
	env.Metrics.GetOrCreateGauge("rushramp_held_requests", func() float64 { return float64(env.Quarantine.CountQuarantined(env.Now())) })
	return q
}

// Tick implements System.
func (q *quarantines) Tick(now int64, mail *tables.Mail) {
	own := q.Quarantine.TakePending()
	var received quarantine.Update
	for _, p := range mail.PeerQuarantines {
		received.Add(q.Quarantine.Merge(now, p.Frame.Update()))
		q.isInformed = q.isInformed || p.Frame.Informed
	}
	q.sendReports(own, received)
	q.sendToNewLinks(now)
	q.logQuarantineChanges(now, &own, &received)
	if mail.StoreRestored {
		for _, row := range q.ownRows {
			row.savedCrashes = 0
		}
	}
	q.syncOwnRows(now, &own)
	if !q.isInformed {
		q.startRead(now)
	}
}

// quarantineReport is one crash or one completion; the other field is nil.
type quarantineReport struct {
	crash      *quarantine.Crash
	completion *quarantine.Completion
}

// key returns a string that is different for each crash and each completed content.
func (r quarantineReport) key() string {
	if r.crash != nil {
		return fmt.Sprint("crash ", r.crash.ID)
	}
	return "completion " + r.completion.Content.String()
}

// quarantineReports splits an update into its crashes and completions.
func quarantineReports(update *quarantine.Update) (out []quarantineReport) {
	for i := range update.Crashes {
		out = append(out, quarantineReport{crash: &update.Crashes[i]})
	}
	for i := range update.Completions {
		out = append(out, quarantineReport{completion: &update.Completions[i]})
	}
	return out
}

// sendReports sends the crashes and completions that are new to this daemon to other
// daemons: own are those that it recorded itself, received those from peers.
func (q *quarantines) sendReports(own, received quarantine.Update) {
	broadcast(q.Env, quarantineReports(&own), quarantineReports(&received), quarantineReport.key, func(reports []quarantineReport) wire.Frame {
		frame := &wire.Quarantine{}
		for _, r := range reports {
			if r.crash != nil {
				frame.Crashes = append(frame.Crashes, *r.crash)
				continue
			}
			frame.Completions = append(frame.Completions, *r.completion)
		}
		return frame
	})
}

// sendToNewLinks sends all known crashes and completions over each new link, once this
// daemon is informed.
func (q *quarantines) sendToNewLinks(now int64) {
	if !q.isInformed || q.sentAtAddedCount == q.World.Peers.AddedCount() {
		return
	}
	q.sentAtAddedCount = q.World.Peers.AddedCount()
	all := q.Quarantine.Snapshot(now)
	frame := &wire.Quarantine{Crashes: all.Crashes, Completions: all.Completions, Informed: true}
	q.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if row.QuarantinesSent {
			return
		}
		row.QuarantinesSent = true
		// A closed link is removed from the table by its LinkEvent.
		_ = peer.Send(frame)
	})
}

// logQuarantineChanges logs which contents are quarantined from now on, and which no
// longer are.
func (q *quarantines) logQuarantineChanges(now int64, own, received *quarantine.Update) {
	for _, crashes := range [][]quarantine.Crash{own.Crashes, received.Crashes} {
		for i := range crashes {
			for _, content := range crashes[i].Contents {
				q.logIfQuarantined(now, content)
			}
		}
	}
	if len(own.Completions)+len(received.Completions) == 0 && !q.releaseCheckTimer.fires(now, releaseCheckInterval) {
		return
	}
	for content := range q.loggedQuarantined {
		if _, quarantined := q.Quarantine.Quarantined(now, content); !quarantined {
			delete(q.loggedQuarantined, content)
			q.Log.Event(events.ContentReleased, events.F("content", content), events.F("why", q.releaseReason(now, content)))
		}
	}
}

// logIfQuarantined logs that a content is quarantined, unless it was logged already.
func (q *quarantines) logIfQuarantined(now int64, content quarantine.Fingerprint) {
	left, quarantined := q.Quarantine.Quarantined(now, content)
	if _, logged := q.loggedQuarantined[content]; logged || !quarantined {
		return
	}
	q.loggedQuarantined[content] = struct{}{}
	q.Log.Event(events.ContentQuarantined, events.F("content", content),
		events.F("crashes", len(q.Quarantine.CrashesAgainst(now, content))), events.F("left", events.Milliseconds(left)))
}

// releaseReason returns why a content is no longer quarantined, as a value of a log field.
func (q *quarantines) releaseReason(now int64, content quarantine.Fingerprint) string {
	if len(q.Quarantine.CrashesAgainst(now, content)) == 0 {
		return "one_ran_to_its_end"
	}
	return "time_over"
}
