package placement

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

// Keys of the rows and objects in the platform's store.
const (
	headKey        = "placement/head"
	logPrefix      = "placement/log/"
	changePrefix   = "placement/change/"
	snapshotPrefix = "placement/snapshot/"
)

// Head identifies the version in force. It is stored in one row, under headKey.
type Head struct {
	Version  uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	Hash     string `cbor:"3,keyasint"`
	Author   string `cbor:"4,keyasint"`
}

// LogEntry is one accepted version in the history.
type LogEntry struct {
	Version  uint64    `cbor:"1,keyasint"`
	ChangeID string    `cbor:"2,keyasint"`
	Author   string    `cbor:"3,keyasint"`
	At       time.Time `cbor:"4,keyasint"`
	Changes  []Change  `cbor:"5,keyasint"`
	Hash     string    `cbor:"6,keyasint"`
	// RollbackOf is the version whose content this one restores; 0 if it is no rollback.
	RollbackOf uint64 `cbor:"7,keyasint,omitempty"`
}

// ConflictError is returned for a change that is based on a version that is no longer in
// force. InForce is the head of the version that is.
type ConflictError struct{ InForce Head }

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s is already in force; read it, look at what changed, and apply your change on top of it",
		c.InForce.Version, c.InForce.Author)
}

// UnknownOutcomeError is returned if it is unknown whether a change was accepted: the store
// returned an error for the write or the check of an earlier attempt, and the change may
// still be applied. The caller may send it again with the same change id.
type UnknownOutcomeError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (u *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the platform's store did not say whether change %s was accepted (%v); send the same change again with this change id", u.ChangeID, u.Cause)
}

// NotSentError is returned if this attempt failed before the change was written. An
// earlier attempt with the same change id may have been accepted.
type NotSentError struct{ Cause error }

// Error implements error.
func (n *NotSentError) Error() string {
	return fmt.Sprintf("this attempt changed nothing (%v); try again. If the same change id was sent before, its outcome is still open", n.Cause)
}

// Store reads and writes placement versions in the platform's store.
type Store struct {
	table   store.Table
	objects store.Objects
}

// NewStore returns a Store that keeps rows in table and documents in objects.
func NewStore(table store.Table, objects store.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Head reads the head. Its version is 0 if no change was ever applied.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

// head reads the head and the version of its row, both 0 if there is none.
func (s *Store) head(ctx context.Context) (Head, uint64, error) {
	row, err := s.table.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	var head Head
	err = cbor.Unmarshal(row.Value, &head)
	return head, row.Version, errors.Wrap(err, "decode placement head")
}

// Snapshot reads the document of a head. Version 0 is the empty document.
func (s *Store) Snapshot(ctx context.Context, head Head) (*Document, error) {
	if head.Version == 0 {
		return &Document{}, nil
	}
	data, err := s.objects.Object(ctx, snapshotKey(head.Version, head.Hash))
	if err != nil {
		return nil, errors.Wrapf(err, "read snapshot of placement version %d", head.Version)
	}
	return Decode(data, head.Hash)
}

// Version reads the document of an accepted version. Version 0 is the empty document.
func (s *Store) Version(ctx context.Context, version uint64) (*Document, error) {
	if version == 0 {
		return &Document{}, nil
	}
	entry, err := s.Entry(ctx, version)
	if err != nil {
		return nil, errors.Wrapf(err, "placement version %d", version)
	}
	return s.Snapshot(ctx, Head{Version: version, Hash: entry.Hash})
}

// Proposal is an operator's change to the document Base.
type Proposal struct {
	Base       *Document
	ChangeID   string
	Author     string
	Changes    []Change
	RollbackOf uint64
	At         time.Time
}

// Commit writes a change as the next version and returns the new document. It may be
// repeated with the same change id. Its errors are ConflictError, UnknownOutcomeError,
// NotSentError, or that of an invalid change.
func (s *Store) Commit(ctx context.Context, p Proposal) (*Document, error) {
	next, err := Apply(p.Base, p.Changes)
	if err != nil {
		return nil, err
	}
	hash, err := next.Hash()
	if err != nil {
		return nil, err
	}
	head, rowVersion, err := s.head(ctx)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if head.ChangeID == p.ChangeID {
		return s.Snapshot(ctx, head)
	}
	if head.Version != p.Base.Version {
		return s.earlierResultOrConflict(ctx, p.ChangeID, head)
	}
	if err := s.putSnapshot(ctx, next, hash); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	err = s.table.Transact(ctx, p.transaction(next.Version, rowVersion, hash))
	if err == nil {
		return next, nil
	}
	return s.resolveOutcome(ctx, p, next, hash, err)
}

func (s *Store) putSnapshot(ctx context.Context, doc *Document, hash string) error {
	data, err := doc.Encode()
	if err != nil {
		return err
	}
	return s.objects.PutObject(ctx, snapshotKey(doc.Version, hash), data)
}

// earlierResultOrConflict returns the document of a change that was accepted by an earlier
// attempt whose answer was lost, or else a ConflictError.
func (s *Store) earlierResultOrConflict(ctx context.Context, changeID string, head Head) (*Document, error) {
	entry, err := s.entryByChangeID(ctx, changeID)
	if errors.Is(err, store.ErrNotFound) {
		return nil, &ConflictError{InForce: head}
	}
	if err != nil {
		return nil, &UnknownOutcomeError{ChangeID: changeID, Cause: err}
	}
	return s.Snapshot(ctx, Head{Version: entry.Version, Hash: entry.Hash})
}

// resolveOutcome reads the change id back to find the outcome of a transaction that
// returned an error, cause.
func (s *Store) resolveOutcome(ctx context.Context, p Proposal, next *Document, hash string, cause error) (*Document, error) {
	_, err := s.entryByChangeID(ctx, p.ChangeID)
	if err == nil {
		return next, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return nil, &UnknownOutcomeError{ChangeID: p.ChangeID, Cause: cause}
	}
	head, _, err := s.head(ctx)
	if err != nil {
		return nil, &UnknownOutcomeError{ChangeID: p.ChangeID, Cause: cause}
	}
	if head.Version >= next.Version && head.Hash != hash {
		return nil, &ConflictError{InForce: head}
	}
	// The store may still apply the write, so it cannot be reported as not accepted.
	return nil, &UnknownOutcomeError{ChangeID: p.ChangeID, Cause: cause}
}

func (s *Store) entryByChangeID(ctx context.Context, changeID string) (LogEntry, error) {
	row, err := s.table.Get(ctx, changePrefix+changeID)
	if err != nil {
		return LogEntry{}, err
	}
	return decodeEntry(row)
}

// Entry reads the history entry of a version.
func (s *Store) Entry(ctx context.Context, version uint64) (LogEntry, error) {
	row, err := s.table.Get(ctx, logKey(version))
	if err != nil {
		return LogEntry{}, err
	}
	return decodeEntry(row)
}

// History reads up to limit entries of versions greater than after, oldest first.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]LogEntry, error) {
	rows, err := s.table.Scan(ctx, logPrefix, logKey(after), limit)
	if err != nil {
		return nil, err
	}
	out := make([]LogEntry, 0, len(rows))
	for _, row := range rows {
		entry, err := decodeEntry(row)
		if err != nil {
			return nil, err
		}
		out = append(out, entry)
	}
	return out, nil
}

// transaction returns the writes of the head and history rows. They are applied only if the
// head's row still has the version headRowVersion.
func (p Proposal) transaction(version, headRowVersion uint64, hash string) []store.Write {
	head := Head{Version: version, ChangeID: p.ChangeID, Hash: hash, Author: p.Author}
	entry := LogEntry{
		Version: version, ChangeID: p.ChangeID, Author: p.Author, At: p.At,
		Changes: p.Changes, Hash: hash, RollbackOf: p.RollbackOf,
	}
	entryData := mustEncode(entry)
	return []store.Write{
		{Key: headKey, IfVersion: headRowVersion, Value: mustEncode(head)},
		{Key: logKey(version), Value: entryData},
		{Key: changePrefix + p.ChangeID, Value: entryData},
	}
}

// mustEncode encodes a Head or LogEntry. Their fields have only types that the encoder
// supports, so an error is a programming error.
func mustEncode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeEntry(row store.Row) (LogEntry, error) {
	var entry LogEntry
	err := cbor.Unmarshal(row.Value, &entry)
	return entry, errors.Wrap(err, "decode placement history entry")
}

func logKey(version uint64) string { return fmt.Sprintf("%s%016d", logPrefix, version) }

func snapshotKey(version uint64, hash string) string {
	return fmt.Sprintf("%s%016d-%s", snapshotPrefix, version, hash)
}
