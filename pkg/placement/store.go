package placement

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

// The rows and objects in the platform's store.
const (
	headKey        = "placement/head"
	logPrefix      = "placement/log/"
	changePrefix   = "placement/change/"
	snapshotPrefix = "placement/snapshot/"
)

// Head is the row that says which version is in force.
type Head struct {
	Version  uint64 `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	Hash     string `cbor:"3,keyasint"`
	Author   string `cbor:"4,keyasint"`
}

// LogEntry is one accepted change in the history.
type LogEntry struct {
	Version  uint64    `cbor:"1,keyasint"`
	ChangeID string    `cbor:"2,keyasint"`
	Author   string    `cbor:"3,keyasint"`
	At       time.Time `cbor:"4,keyasint"`
	Changes  []Change  `cbor:"5,keyasint"`
	Hash     string    `cbor:"6,keyasint"`
	// RollbackOf is the version whose content this one restores, or 0.
	RollbackOf uint64 `cbor:"7,keyasint,omitempty"`
}

// ConflictError is returned to an operator whose change was based on a version
// that is no longer in force.
type ConflictError struct{ InForce Head }

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s is already in force; read it, look at what changed, and apply your change on top of it",
		c.InForce.Version, c.InForce.Author)
}

// UnknownOutcomeError is returned when the store answered neither the write
// nor the read-back. The same change id may be sent again.
type UnknownOutcomeError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (u *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the platform's store did not say whether change %s was accepted (%v); send the same change again with this change id", u.ChangeID, u.Cause)
}

// NotSentError is returned when this attempt failed before anything was
// written. An earlier attempt with the same change id may have been accepted.
type NotSentError struct{ Cause error }

// Error implements error.
func (n *NotSentError) Error() string {
	return fmt.Sprintf("this attempt changed nothing (%v); try again. If the same change id was sent before, its outcome is still open", n.Cause)
}

// Store reads and writes versions in the platform.
type Store struct {
	table   store.Table
	objects store.Objects
}

// NewStore makes a Store.
func NewStore(table store.Table, objects store.Objects) *Store {
	return &Store{table: table, objects: objects}
}

// Head reads the head; version 0 when nothing was ever applied.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

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
	return head, row.Version, errors.Wrap(err, "placement head")
}

// Snapshot reads the whole document of a head.
func (s *Store) Snapshot(ctx context.Context, head Head) (*Document, error) {
	if head.Version == 0 {
		return &Document{}, nil
	}
	data, err := s.objects.Object(ctx, snapshotName(head.Version, head.Hash))
	if err != nil {
		return nil, errors.Wrapf(err, "snapshot of placement version %d", head.Version)
	}
	return Decode(data, head.Hash)
}

// Version reads the whole document of an accepted version.
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

// Proposal is one operator's change, ready to be written.
type Proposal struct {
	Base       *Document
	ChangeID   string
	Author     string
	Changes    []Change
	RollbackOf uint64
	At         time.Time
}

// Commit writes a change as the next version. It returns the new document, a
// ConflictError, an UnknownOutcomeError, a NotSentError, or an error of the
// change itself.
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
		return s.ownOrConflict(ctx, p.ChangeID, head)
	}
	if err := s.putSnapshot(ctx, next, hash); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	err = s.table.Transact(ctx, p.writes(next.Version, rowVersion, hash))
	if err == nil {
		return next, nil
	}
	return s.resolve(ctx, p, next, hash, err)
}

func (s *Store) putSnapshot(ctx context.Context, doc *Document, hash string) error {
	data, err := doc.Encode()
	if err != nil {
		return err
	}
	return s.objects.PutObject(ctx, snapshotName(doc.Version, hash), data)
}

// ownOrConflict tells a change that was accepted earlier, whose answer was
// lost, from one that lost the race.
func (s *Store) ownOrConflict(ctx context.Context, changeID string, head Head) (*Document, error) {
	entry, err := s.entryOf(ctx, changeID)
	if errors.Is(err, store.ErrNotFound) {
		return nil, &ConflictError{InForce: head}
	}
	if err != nil {
		return nil, &UnknownOutcomeError{ChangeID: changeID, Cause: err}
	}
	return s.Snapshot(ctx, Head{Version: entry.Version, Hash: entry.Hash})
}

// resolve reads the change id back after the transaction's answer was an error.
func (s *Store) resolve(ctx context.Context, p Proposal, next *Document, hash string, cause error) (*Document, error) {
	_, err := s.entryOf(ctx, p.ChangeID)
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
	// The write may still be on its way in the store, so "not accepted" would
	// be a guess.
	return nil, &UnknownOutcomeError{ChangeID: p.ChangeID, Cause: cause}
}

func (s *Store) entryOf(ctx context.Context, changeID string) (LogEntry, error) {
	row, err := s.table.Get(ctx, changePrefix+changeID)
	if err != nil {
		return LogEntry{}, err
	}
	return decodeEntry(row)
}

// Entry reads the history's entry of a version.
func (s *Store) Entry(ctx context.Context, version uint64) (LogEntry, error) {
	row, err := s.table.Get(ctx, logKey(version))
	if err != nil {
		return LogEntry{}, err
	}
	return decodeEntry(row)
}

// History reads up to limit entries with versions above after, oldest first.
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

func (p Proposal) writes(version, headRow uint64, hash string) []store.Write {
	head := Head{Version: version, ChangeID: p.ChangeID, Hash: hash, Author: p.Author}
	entry := LogEntry{
		Version: version, ChangeID: p.ChangeID, Author: p.Author, At: p.At,
		Changes: p.Changes, Hash: hash, RollbackOf: p.RollbackOf,
	}
	entryData := mustEncode(entry)
	return []store.Write{
		{Key: headKey, IfVersion: headRow, Value: mustEncode(head)},
		{Key: logKey(version), Value: entryData},
		{Key: changePrefix + p.ChangeID, Value: entryData},
	}
}

// mustEncode encodes a struct of this file. Their fields are all plain values,
// for which the encoder has no error to give.
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
	return entry, errors.Wrap(err, "placement history")
}

func logKey(version uint64) string { return fmt.Sprintf("%s%016d", logPrefix, version) }

func snapshotName(version uint64, hash string) string {
	return fmt.Sprintf("%s%016d-%s", snapshotPrefix, version, hash)
}
