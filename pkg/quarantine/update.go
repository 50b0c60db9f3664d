package quarantine

import "time"

// Crash is the unexpected end of a backend server's process while it ran requests, as
// daemons report it to each other.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// ID is a random id.
	ID uint64
	// Contents holds the fingerprints of the contents that ran, each once.
	Contents []Fingerprint
	// AgeMS is the time since the crash in milliseconds. It is an age because the clocks
	// of VMs differ.
	AgeMS uint64
}

// Completion reports that a request ran to completion, so that its content did not crash the
// backend server.
type Completion struct {
	_       struct{} `cbor:",toarray"`
	Content Fingerprint
	// AgeMS is the time since the completion in milliseconds.
	AgeMS uint64
}

// Update is a set of crashes and completions that one daemon reports to another.
type Update struct {
	Crashes     []Crash
	Completions []Completion
}

// Empty reports whether the update reports nothing.
func (u *Update) Empty() bool { return len(u.Crashes) == 0 && len(u.Completions) == 0 }

// Add appends another update.
func (u *Update) Add(other Update) {
	u.Crashes = append(u.Crashes, other.Crashes...)
	u.Completions = append(u.Completions, other.Completions...)
}

// TakePending returns what this daemon recorded itself since the last call.
func (t *Table) TakePending() Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.pending
	t.pending = Update{}
	return out
}

// Merge adds what another daemon reported, and returns the part that was new here.
func (t *Table) Merge(now int64, reported Update) (added Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range reported.Crashes {
		if t.addCrash(now, &reported.Crashes[i]) {
			added.Crashes = append(added.Crashes, reported.Crashes[i])
		}
	}
	for _, c := range reported.Completions {
		if t.addCompletion(c.Content, timeOf(now, c.AgeMS)) {
			added.Completions = append(added.Completions, c)
		}
	}
	return added
}

// Snapshot returns the whole table, for a daemon that may know none of it.
func (t *Table) Snapshot(now int64) (out Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	for id, c := range t.crashes {
		out.Crashes = append(out.Crashes, Crash{ID: id, Contents: c.contents, AgeMS: millisecondsSince(now, c.at)})
	}
	for content, s := range t.suspects {
		if s.completedAt != neverCompleted {
			out.Completions = append(out.Completions, Completion{Content: content, AgeMS: millisecondsSince(now, s.completedAt)})
		}
	}
	return out
}

// timeOf returns the time of an event of this age. The age is capped at twice
// CrashRetention, which is still expired, to avoid an overflow.
func timeOf(now int64, ageMS uint64) int64 {
	return now - int64(min(ageMS, uint64(2*CrashRetention/time.Millisecond)))*int64(time.Millisecond)
}

func millisecondsSince(now, at int64) uint64 {
	return uint64(max(now-at, 0) / int64(time.Millisecond))
}
