package quarantine

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
)

const (
	// crashesToQuarantine is the number of crashes after which a content that ran during
	// each of them is quarantined. crashesToQuarantineOnlyCommon crashes are enough if no
	// other content ran during all of them. Otherwise two are not enough: requests that ran
	// together are usually retried elsewhere, and a harmless one may run beside the cause
	// of the crash again.
	crashesToQuarantine           = 3
	crashesToQuarantineOnlyCommon = 2
	// quarantineDuration is how long a content is quarantined after its newest crash. Then
	// it may run again, because a new version of the backend server may have fixed the
	// fault; one more crash quarantines it again. A content thus causes at most six
	// crashes per hour.
	quarantineDuration = 10 * time.Minute
	// CrashRetention is how long a crash counts. It exceeds quarantineDuration, so that
	// the earlier crashes still count when a content runs again after its quarantine.
	CrashRetention = 30 * time.Minute
	// maxCrashes bounds the number of crashes kept; the oldest is dropped first.
	// MaxContentsPerCrash bounds the contents kept per crash; further ones are ignored.
	maxCrashes          = 256
	MaxContentsPerCrash = 64
)

// crash is a crash in the table. at is its time on the daemon's clock.
type crash struct {
	at       int64
	contents []Fingerprint
}

// suspect is a content that ran at the time of a crash.
type suspect struct {
	// crashes holds the ids of the crashes during which the content ran.
	crashes []uint64
	// completedAt is when a request with this content last ran to completion; earlier
	// crashes do not count.
	completedAt int64
}

// neverCompleted is the value of completedAt before any completion. It is not 0, because
// reported times can be negative: they may precede this process, whose clock starts at 0.
const neverCompleted = math.MinInt64

// Table keeps the crashes reported by daemons and decides which contents are quarantined. Times
// are nanoseconds of the daemon's clock, passed in by the caller. It is safe for concurrent
// use.
type Table struct {
	// any is true while there are suspects. While there are none, the check of a
	// request costs one atomic load.
	any atomic.Bool
	// version increases with each change.
	version atomic.Uint64

	mu       sync.Mutex
	crashes  map[uint64]*crash
	suspects map[Fingerprint]*suspect
	// pending holds what this daemon observed itself and TakePending has not returned yet.
	pending Update
	// onUpdate is called without the lock when something was added to pending.
	onUpdate func()
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{crashes: map[uint64]*crash{}, suspects: map[Fingerprint]*suspect{}, onUpdate: func() {}}
}

// OnUpdate sets the function that is called when TakePending has something new to return.
// It must be called before the table is used.
func (t *Table) OnUpdate(callback func()) { t.onUpdate = callback }

// AnySuspects reports whether there are contents that ran at the time of a crash.
func (t *Table) AnySuspects() bool { return t.any.Load() }

// Version increases with each change of the table. Callers compare versions to detect
// changes cheaply.
func (t *Table) Version() uint64 { return t.version.Load() }

// RecordCrash records a crash of this daemon's own backend server.
func (t *Table) RecordCrash(now int64, id uint64, contents []Fingerprint) {
	t.mu.Lock()
	c := Crash{ID: id, Contents: contents}
	if t.addCrash(now, &c) {
		c.Contents = slices.Clone(t.crashes[id].contents)
		t.pending.Crashes = append(t.pending.Crashes, c)
	}
	t.mu.Unlock()
	t.onUpdate()
}

// RecordCompletion records that a request ran to completion at this daemon's own backend
// server.
func (t *Table) RecordCompletion(now int64, content Fingerprint) {
	t.mu.Lock()
	added := t.addCompletion(content, now)
	if added {
		t.pending.Completions = append(t.pending.Completions, Completion{Content: content})
	}
	t.mu.Unlock()
	if added {
		t.onUpdate()
	}
}

// Quarantined returns whether a content is quarantined, and for how much longer.
func (t *Table) Quarantined(now int64, content Fingerprint) (remaining time.Duration, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantinedFor(now, content)
}

// Refusal returns an error for a request whose content is quarantined, with the time until it may
// run again, or nil if it may run. content is called only while there are suspects.
func (t *Table) Refusal(now int64, content func() Fingerprint) (refusal *errkind.Error, remaining time.Duration) {
	if !t.any.Load() {
		return nil, 0
	}
	request := content()
	remaining, quarantined := t.Quarantined(now, request)
	if !quarantined {
		return nil, 0
	}
	return errkind.New(errkind.RequestHeld, "requests of content %s end the backend servers that run them", request), remaining
}

// RecordAnswer records a completion from the HTTP status of a request's answer. A status of
// minFailureStatus or more is ignored: it does not show that the content is harmless.
func (t *Table) RecordAnswer(now int64, content func() Fingerprint, status int) {
	if t.any.Load() && status < minFailureStatus {
		t.RecordCompletion(now, content())
	}
}

// minFailureStatus is the lowest HTTP status of a server error.
const minFailureStatus = 500

// CountQuarantined returns the number of contents that are quarantined.
func (t *Table) CountQuarantined(now int64) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for content := range t.suspects {
		if _, quarantined := t.quarantinedFor(now, content); quarantined {
			count++
		}
	}
	return count
}

func (t *Table) quarantinedFor(now int64, content Fingerprint) (remaining time.Duration, quarantined bool) {
	s := t.suspects[content]
	if s == nil {
		return 0, false
	}
	counted := t.countedCrashes(now, s)
	if len(counted) < crashesToQuarantineOnlyCommon || len(counted) < crashesToQuarantine && !t.isOnlyCommon(content, counted) {
		return 0, false
	}
	newest := counted[0].at
	for _, c := range counted {
		newest = max(newest, c.at)
	}
	remaining = quarantineDuration - time.Duration(now-newest)
	return remaining, remaining > 0
}

// CrashesAgainst returns the crashes that count against a content, each with this content
// alone, for storage beyond the life of this process.
func (t *Table) CrashesAgainst(now int64, content Fingerprint) (out []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[content]
	if s == nil {
		return nil
	}
	for _, id := range s.crashes {
		if c := t.crashes[id]; c != nil && c.at > s.completedAt {
			out = append(out, Crash{ID: id, Contents: []Fingerprint{content}, AgeMS: millisecondsSince(now, c.at)})
		}
	}
	return out
}

// countedCrashes returns the crashes that count against a suspect.
func (t *Table) countedCrashes(now int64, s *suspect) (out []*crash) {
	for _, id := range s.crashes {
		c := t.crashes[id]
		if c != nil && c.at > s.completedAt && now-c.at <= int64(CrashRetention) {
			out = append(out, c)
		}
	}
	return out
}

// isOnlyCommon reports whether no other content ran during all of the crashes. Contents that
// have run to completion since a crash are disregarded.
func (t *Table) isOnlyCommon(content Fingerprint, crashes []*crash) bool {
	for _, other := range crashes[0].contents {
		if other != content && t.ranInAll(other, crashes) {
			return false
		}
	}
	return true
}

// ranInAll reports whether a content ran during all of the crashes and has not run to completion
// since.
func (t *Table) ranInAll(content Fingerprint, crashes []*crash) bool {
	s := t.suspects[content]
	for _, c := range crashes {
		if !slices.Contains(c.contents, content) || s != nil && s.completedAt >= c.at {
			return false
		}
	}
	return true
}

// addCrash adds a reported crash. It returns false if nothing of it is new. The caller
// holds the lock.
func (t *Table) addCrash(now int64, reported *Crash) bool {
	crashedAt := timeOf(now, reported.AgeMS)
	if now-crashedAt > int64(CrashRetention) {
		return false
	}
	c := t.crashes[reported.ID]
	if c == nil {
		t.dropExpired(now)
		t.evictOldest()
		c = &crash{at: crashedAt}
		t.crashes[reported.ID] = c
	}
	added := false
	for _, content := range reported.Contents {
		if len(c.contents) >= MaxContentsPerCrash || slices.Contains(c.contents, content) {
			continue
		}
		c.contents = append(c.contents, content)
		t.suspectOf(content).crashes = append(t.suspectOf(content).crashes, reported.ID)
		added = true
	}
	if added {
		t.version.Add(1)
	}
	return added
}

func (t *Table) suspectOf(content Fingerprint) *suspect {
	s := t.suspects[content]
	if s == nil {
		s = &suspect{completedAt: neverCompleted}
		t.suspects[content] = s
		t.any.Store(true)
	}
	return s
}

// addCompletion records a completion. It returns false if the completion clears no crash.
// The caller holds the lock.
func (t *Table) addCompletion(content Fingerprint, at int64) bool {
	s := t.suspects[content]
	if s == nil || at <= s.completedAt {
		return false
	}
	for _, id := range s.crashes {
		if c := t.crashes[id]; c != nil && c.at > s.completedAt && c.at <= at {
			s.completedAt = at
			t.version.Add(1)
			return true
		}
	}
	return false
}

// dropExpired drops crashes older than CrashRetention. The caller holds the lock.
func (t *Table) dropExpired(now int64) {
	for id, c := range t.crashes {
		if now-c.at > int64(CrashRetention) {
			t.drop(id)
		}
	}
}

// evictOldest drops the oldest crash if the table is full. The caller holds the lock.
func (t *Table) evictOldest() {
	if len(t.crashes) < maxCrashes {
		return
	}
	oldest, oldestAt := uint64(0), int64(math.MaxInt64)
	for id, c := range t.crashes {
		if c.at < oldestAt {
			oldest, oldestAt = id, c.at
		}
	}
	t.drop(oldest)
}

// drop removes a crash, and the suspects that have no other. The caller holds the lock.
func (t *Table) drop(id uint64) {
	for _, content := range t.crashes[id].contents {
		s := t.suspects[content]
		s.crashes = slices.DeleteFunc(s.crashes, func(other uint64) bool { return other == id })
		if len(s.crashes) == 0 {
			delete(t.suspects, content)
		}
	}
	delete(t.crashes, id)
	t.any.Store(len(t.suspects) > 0)
}
