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

// quarantines passes on which requests ran when backend servers' processes ended, and
// keeps what is held back in the store: daemons that all lose power at once would let
// it end their backend servers again. Source: docs/design/quarantine.md.
type quarantines struct {
	*Env
	// informed is true once this daemon knows what others knew before its start.
	informed bool
	// greeted is how many links had ever come up when all were told.
	greeted uint64
	// held are the contents that are held back here, by what the log was told.
	held map[quarantine.Fingerprint]struct{}
	// rows are the contents that ran when the backend server beside this daemon ended:
	// this daemon keeps their rows.
	rows map[quarantine.Fingerprint]*heldRow
	// writing is true while a row is, writeDue when the next may be.
	writing  bool
	writeDue intervalTimer
	// reading is true while the rows are read, readDue when they may be again, and
	// readRest the rest after that.
	reading  atomic.Bool
	readDue  intervalTimer
	readRest time.Duration
	// noteDue is when the contents held are looked at again.
	noteDue intervalTimer
}

// heldEvery is how often it is looked whether contents may run again.
const heldEvery = time.Second

func newQuarantines(env *Env) *quarantines {
	q := &quarantines{
		Env: env, informed: env.Settings.Platform.FirstStart, readRest: heldReadRest,
		held: map[quarantine.Fingerprint]struct{}{}, rows: map[quarantine.Fingerprint]*heldRow{},
	}
	env.Quarantine.OnUpdate(func() { env.World.Inbox.Post(true, func(*tables.Mail) {}) })
	env.Metrics.GetOrCreateGauge("rushramp_held_requests", func() float64 { return float64(env.Quarantine.CountHeld(env.Now())) })
	return q
}

// Tick implements System.
func (q *quarantines) Tick(now int64, mail *tables.Mail) {
	own := q.Quarantine.TakePending()
	var heard quarantine.Update
	for _, p := range mail.PeerQuarantines {
		heard.Add(q.Quarantine.Merge(now, p.Frame.Update()))
		q.informed = q.informed || p.Frame.Informed
	}
	q.tell(own, heard)
	q.greet(now)
	q.noteHeld(now, &own, &heard)
	if mail.StoreRestored {
		for _, row := range q.rows {
			row.saved = 0
		}
	}
	q.keep(now, &own)
	if !q.informed {
		q.inform(now)
	}
}

// piece is one crash or completion.
type piece struct {
	crash      *quarantine.Crash
	completion *quarantine.Completion
}

func (p piece) key() string {
	if p.crash != nil {
		return fmt.Sprint("crash ", p.crash.ID)
	}
	return "completion " + p.completion.Request.String()
}

func pieces(n *quarantine.Update) (out []piece) {
	for i := range n.Crashes {
		out = append(out, piece{crash: &n.Crashes[i]})
	}
	for i := range n.Completions {
		out = append(out, piece{completion: &n.Completions[i]})
	}
	return out
}

// tell passes on what is new here.
func (q *quarantines) tell(own, heard quarantine.Update) {
	broadcast(q.Env, pieces(&own), pieces(&heard), piece.key, func(some []piece) wire.Frame {
		frame := &wire.Quarantine{}
		for _, p := range some {
			if p.crash != nil {
				frame.Crashes = append(frame.Crashes, *p.crash)
				continue
			}
			frame.Completions = append(frame.Completions, *p.completion)
		}
		return frame
	})
}

// greet tells all over each new link, once this daemon is informed.
func (q *quarantines) greet(now int64) {
	if !q.informed || q.greeted == q.World.Peers.AddedCount() {
		return
	}
	q.greeted = q.World.Peers.AddedCount()
	all := q.Quarantine.Snapshot(now)
	frame := &wire.Quarantine{Crashes: all.Crashes, Completions: all.Completions, Informed: true}
	q.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if row.QuarantinesSent {
			return
		}
		row.QuarantinesSent = true
		// A link that has closed leaves the table with its next event.
		_ = peer.Send(frame)
	})
}

// noteHeld logs which contents begin to be held back, and which no longer are.
func (q *quarantines) noteHeld(now int64, own, heard *quarantine.Update) {
	for _, crashes := range [][]quarantine.Crash{own.Crashes, heard.Crashes} {
		for i := range crashes {
			for _, content := range crashes[i].Requests {
				q.noteContent(now, content)
			}
		}
	}
	if len(own.Completions)+len(heard.Completions) == 0 && !q.noteDue.fires(now, heldEvery) {
		return
	}
	for content := range q.held {
		if _, held := q.Quarantine.Held(now, content); !held {
			delete(q.held, content)
			q.Log.Event(events.ContentFreed, events.F("content", content), events.F("why", q.whyFreed(now, content)))
		}
	}
}

func (q *quarantines) noteContent(now int64, content quarantine.Fingerprint) {
	left, held := q.Quarantine.Held(now, content)
	if _, known := q.held[content]; known || !held {
		return
	}
	q.held[content] = struct{}{}
	q.Log.Event(events.ContentHeld, events.F("content", content),
		events.F("crashes", len(q.Quarantine.CrashesAgainst(now, content))), events.F("left", events.Milliseconds(left)))
}

func (q *quarantines) whyFreed(now int64, content quarantine.Fingerprint) string {
	if len(q.Quarantine.CrashesAgainst(now, content)) == 0 {
		return "one_ran_to_its_end"
	}
	return "time_over"
}
