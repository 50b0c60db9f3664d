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
	// crashesCertain is how many crashes with one content among the requests that ran
	// hold it back. Two do where no other content ran in both: the others that ran
	// beside it are mostly tried again elsewhere, and may be beside it once more.
	crashesCertain = 3
	crashesLeast   = 2
	// holdFor is how long after its newest crash a content is held back. It then may run
	// again, and one crash more holds it back anew: what ends a backend server is mostly
	// mended by a new version, and ten minutes cost one backend server a few seconds
	// six times an hour at the most.
	holdFor = 10 * time.Minute
	// CrashRetention is how long a crash counts. It is longer than holdFor, so that a
	// content that is tried again is known.
	CrashRetention = 30 * time.Minute
	// mostCrashes bounds those that are remembered, and MostRequests the requests of
	// one: with more of either the oldest, or the last, are left out. 21,000 VMs of
	// which 24 fail a day have one in half an hour.
	mostCrashes         = 256
	MaxRequestsPerCrash = 64
)

// Crash is an end of a backend server's process under requests, as daemons tell each
// other of it.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// ID tells crashes apart.
	ID uint64
	// Requests are the contents that ran, each once.
	Requests []Fingerprint
	// AgeMS is how long ago it was, in milliseconds: clocks of VMs differ.
	AgeMS uint64
}

// Completion tells that a request ran to its end, and so did not end its backend server.
type Completion struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	// AgeMS is how long ago that was, in milliseconds.
	AgeMS uint64
}

// Update is what one daemon tells another.
type Update struct {
	Crashes     []Crash
	Completions []Completion
}

// Empty is true for news of nothing.
func (n *Update) Empty() bool { return len(n.Crashes) == 0 && len(n.Completions) == 0 }

// Add appends other news.
func (n *Update) Add(other Update) {
	n.Crashes = append(n.Crashes, other.Crashes...)
	n.Completions = append(n.Completions, other.Completions...)
}

// crash is a crash in the table.
type crash struct {
	at       int64
	requests []Fingerprint
}

// suspect is a content that ran when a backend server's process ended.
type suspect struct {
	// crashes are the ids of those that count.
	crashes []uint64
	// completedAt is when such a request last ran to its end; crashes before do not
	// count.
	completedAt int64
}

// never stands in completedAt: what others tell of may be older than this process, whose
// clock begins at 0.
const never = math.MinInt64

// Table remembers the crashes that daemons told of, and decides which contents are held
// back. Times are nanoseconds of the daemon's steady clock, handed in. It is safe for
// concurrent use.
type Table struct {
	// any is true while there are suspects, so that the way of a request costs one load
	// while there are none.
	any atomic.Bool
	// version grows with each change.
	version atomic.Uint64

	mu       sync.Mutex
	crashes  map[uint64]*crash
	suspects map[Fingerprint]*suspect
	// own is what this daemon saw itself and has not told yet.
	own Update
	// changed is told, without the lock, when there is something to tell.
	changed func()
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{crashes: map[uint64]*crash{}, suspects: map[Fingerprint]*suspect{}, changed: func() {}}
}

// OnUpdate sets who is told when this daemon has news of its own. It is called before the
// table is used.
func (t *Table) OnUpdate(changed func()) { t.changed = changed }

// AnySuspects is true while there are contents that ran when a process ended.
func (t *Table) AnySuspects() bool { return t.any.Load() }

// Version grows with each change, so that who must look at something again can see
// cheaply that there was none.
func (t *Table) Version() uint64 { return t.version.Load() }

// RecordCrash notes a crash of the backend server beside this daemon.
func (t *Table) RecordCrash(now int64, id uint64, requests []Fingerprint) {
	t.mu.Lock()
	c := Crash{ID: id, Requests: requests}
	if t.addCrash(now, &c) {
		c.Requests = slices.Clone(t.crashes[id].requests)
		t.own.Crashes = append(t.own.Crashes, c)
	}
	t.mu.Unlock()
	t.changed()
}

// RecordCompletion notes that a request ran to its end at the backend server beside this
// daemon.
func (t *Table) RecordCompletion(now int64, request Fingerprint) {
	t.mu.Lock()
	fresh := t.complete(request, now)
	if fresh {
		t.own.Completions = append(t.own.Completions, Completion{Request: request})
	}
	t.mu.Unlock()
	if fresh {
		t.changed()
	}
}

// TakePending returns what this daemon saw since it was last asked.
func (t *Table) TakePending() Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.own
	t.own = Update{}
	return out
}

// Merge takes over what another daemon told, and returns what of it was new here.
func (t *Table) Merge(now int64, told Update) (fresh Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range told.Crashes {
		if t.addCrash(now, &told.Crashes[i]) {
			fresh.Crashes = append(fresh.Crashes, told.Crashes[i])
		}
	}
	for _, c := range told.Completions {
		if t.complete(c.Request, ago(now, c.AgeMS)) {
			fresh.Completions = append(fresh.Completions, c)
		}
	}
	return fresh
}

// Snapshot returns what the table holds, for a daemon that may know nothing.
func (t *Table) Snapshot(now int64) (out Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	for id, c := range t.crashes {
		out.Crashes = append(out.Crashes, Crash{ID: id, Requests: c.requests, AgeMS: age(now, c.at)})
	}
	for request, s := range t.suspects {
		if s.completedAt != never {
			out.Completions = append(out.Completions, Completion{Request: request, AgeMS: age(now, s.completedAt)})
		}
	}
	return out
}

// Held tells whether a content is held back, and for how much longer.
func (t *Table) Held(now int64, request Fingerprint) (left time.Duration, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heldFor(now, request)
}

// Refusal is that of a request whose content is held back, with the time until it may
// run again; nil: it may run. content is asked for only while there are suspects.
func (t *Table) Refusal(now int64, content func() Fingerprint) (refusal *errkind.Error, left time.Duration) {
	if !t.any.Load() {
		return nil, 0
	}
	request := content()
	left, held := t.Held(now, request)
	if !held {
		return nil, 0
	}
	return errkind.New(errkind.RequestHeld, "requests of content %s end the backend servers that run them", request), left
}

// RecordAnswer notes that a request has run to its end where its content is a suspect, with what
// its answer said: one that failed tells nothing.
func (t *Table) RecordAnswer(now int64, content func() Fingerprint, status int) {
	if t.any.Load() && status < leastFailure {
		t.RecordCompletion(now, content())
	}
}

// leastFailure is the least status that says that the backend server failed.
const leastFailure = 500

// CountHeld is how many contents are held back.
func (t *Table) CountHeld(now int64) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for request := range t.suspects {
		if _, held := t.heldFor(now, request); held {
			count++
		}
	}
	return count
}

func (t *Table) heldFor(now int64, request Fingerprint) (left time.Duration, held bool) {
	s := t.suspects[request]
	if s == nil {
		return 0, false
	}
	counting := t.counting(now, s)
	if len(counting) < crashesLeast || len(counting) < crashesCertain && !t.alone(request, counting) {
		return 0, false
	}
	newest := counting[0].at
	for _, c := range counting {
		newest = max(newest, c.at)
	}
	left = holdFor - time.Duration(now-newest)
	return left, left > 0
}

// CrashesAgainst are the crashes that count against a content, for what lasts longer than
// this process.
func (t *Table) CrashesAgainst(now int64, request Fingerprint) (out []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[request]
	if s == nil {
		return nil
	}
	for _, id := range s.crashes {
		if c := t.crashes[id]; c != nil && c.at > s.completedAt {
			out = append(out, Crash{ID: id, Requests: []Fingerprint{request}, AgeMS: age(now, c.at)})
		}
	}
	return out
}

// counting are the crashes that count against a suspect.
func (t *Table) counting(now int64, s *suspect) (out []*crash) {
	for _, id := range s.crashes {
		c := t.crashes[id]
		if c != nil && c.at > s.completedAt && now-c.at <= int64(CrashRetention) {
			out = append(out, c)
		}
	}
	return out
}

// alone is true where no other content ran in all the crashes, but for those that have
// run to their end since.
func (t *Table) alone(request Fingerprint, crashes []*crash) bool {
	for _, other := range crashes[0].requests {
		if other != request && t.inAll(other, crashes) {
			return false
		}
	}
	return true
}

func (t *Table) inAll(request Fingerprint, crashes []*crash) bool {
	s := t.suspects[request]
	for _, c := range crashes {
		if !slices.Contains(c.requests, request) || s != nil && s.completedAt >= c.at {
			return false
		}
	}
	return true
}

// addCrash takes a crash over; false where nothing of it is new. The lock is held.
func (t *Table) addCrash(now int64, told *Crash) bool {
	at := ago(now, told.AgeMS)
	if now-at > int64(CrashRetention) {
		return false
	}
	c := t.crashes[told.ID]
	if c == nil {
		t.forget(now)
		t.makeRoom()
		c = &crash{at: at}
		t.crashes[told.ID] = c
	}
	fresh := false
	for _, request := range told.Requests {
		if len(c.requests) >= MaxRequestsPerCrash || slices.Contains(c.requests, request) {
			continue
		}
		c.requests = append(c.requests, request)
		t.suspectOf(request).crashes = append(t.suspectOf(request).crashes, told.ID)
		fresh = true
	}
	if fresh {
		t.version.Add(1)
	}
	return fresh
}

func (t *Table) suspectOf(request Fingerprint) *suspect {
	s := t.suspects[request]
	if s == nil {
		s = &suspect{completedAt: never}
		t.suspects[request] = s
		t.any.Store(true)
	}
	return s
}

// complete notes that a request ran to its end; false where that changes nothing. The
// lock is held.
func (t *Table) complete(request Fingerprint, at int64) bool {
	s := t.suspects[request]
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

// forget drops what is too old. The lock is held.
func (t *Table) forget(now int64) {
	for id, c := range t.crashes {
		if now-c.at > int64(CrashRetention) {
			t.drop(id)
		}
	}
}

// makeRoom drops the oldest crash where there is no room for one more. The lock is held.
func (t *Table) makeRoom() {
	if len(t.crashes) < mostCrashes {
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

func (t *Table) drop(id uint64) {
	for _, request := range t.crashes[id].requests {
		s := t.suspects[request]
		s.crashes = slices.DeleteFunc(s.crashes, func(other uint64) bool { return other == id })
		if len(s.crashes) == 0 {
			delete(t.suspects, request)
		}
	}
	delete(t.crashes, id)
	t.any.Store(len(t.suspects) > 0)
}

// ago is when something was that is so old; what is far too old stays so.
func ago(now int64, ageMS uint64) int64 {
	return now - int64(min(ageMS, uint64(2*CrashRetention/time.Millisecond)))*int64(time.Millisecond)
}

func age(now, at int64) uint64 { return uint64(max(now-at, 0) / int64(time.Millisecond)) }
