// Package fakestore is a stand-in for the platform: a table with conditional
// writes, an object store, and a list of VMs that may lag. It can be slow or
// down, and can lose the answer to a write that took effect. Source: brief,
// "What the platform gives" and "What fails".
package fakestore

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/store"
)

// ErrDown is returned by requests while the stand-in is down, and by writes
// whose answer is lost.
var ErrDown = errors.New("the stand-in platform does not answer")

// Faults sets how the stand-in misbehaves. The zero value is no fault.
type Faults struct {
	// Down makes each request to the table and the object store fail without
	// effect. The list of VMs is a separate service and still answers.
	Down bool `yaml:"down" json:"down"`
	// Delay is added to each request to the table and the object store.
	Delay time.Duration `yaml:"delay" json:"delay"`
	// LoseAnswers is the share of writes, from 0 to 1, that take effect but
	// return ErrDown.
	LoseAnswers float64 `yaml:"lose_answers" json:"lose_answers"`
	// VMLag is the age of the list of VMs that readers see.
	VMLag time.Duration `yaml:"vm_lag" json:"vm_lag"`
}

// vmList is a list of VMs and the time from which it is valid.
type vmList struct {
	at  time.Time
	vms []store.VM
}

// Store is the platform's stand-in, held in memory. It is safe for concurrent
// use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	lists   []vmList
	faults  Faults
	reads   atomic.Int64
	writes  atomic.Int64
}

var _ store.Platform = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

// SetFaults replaces the current faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CurrentFaults returns the faults set last.
func (s *Store) CurrentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetVMs replaces the list of VMs. Readers see the new list after Faults.VMLag.
func (s *Store) SetVMs(vms []store.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, vmList{at: time.Now(), vms: append([]store.VM(nil), vms...)})
}

// CurrentVMs returns the newest list of VMs, whatever Faults.VMLag is.
func (s *Store) CurrentVMs() []store.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lists) == 0 {
		return nil
	}
	return append([]store.VM(nil), s.lists[len(s.lists)-1].vms...)
}

// Reads returns the number of read requests received.
func (s *Store) Reads() int64 { return s.reads.Load() }

// Writes returns the number of write requests received.
func (s *Store) Writes() int64 { return s.writes.Load() }

// Get implements store.Table.
func (s *Store) Get(ctx context.Context, key string) (store.Row, error) {
	if err := s.beginRequest(ctx, &s.reads); err != nil {
		return store.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	if !ok {
		return store.Row{}, store.ErrNotFound
	}
	return row, nil
}

// Scan implements store.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := s.beginRequest(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

// Batch implements store.Table.
func (s *Store) Batch(ctx context.Context, writes []store.Write) ([]store.Result, error) {
	if err := s.beginRequest(ctx, &s.writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]store.Result, 0, len(writes))
	for _, w := range writes {
		applied := s.conditionHolds(w)
		if applied {
			s.apply(w)
		}
		out = append(out, store.Result{Applied: applied, Row: s.rows[w.Key]})
	}
	return out, s.loseAnswer()
}

// Transact implements store.Table.
func (s *Store) Transact(ctx context.Context, writes []store.Write) error {
	if err := s.beginRequest(ctx, &s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if !s.conditionHolds(w) {
			return store.ErrConflict
		}
	}
	for _, w := range writes {
		s.apply(w)
	}
	return s.loseAnswer()
}

// PutObject implements store.Objects.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	if err := s.beginRequest(ctx, &s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = append([]byte(nil), data...)
	return s.loseAnswer()
}

// Object implements store.Objects.
func (s *Store) Object(ctx context.Context, name string) ([]byte, error) {
	if err := s.beginRequest(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, store.ErrNotFound
	}
	return append([]byte(nil), data...), nil
}

// VMs implements store.VMs.
func (s *Store) VMs(ctx context.Context, dataCentre string) ([]store.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lists) == 0 {
		return nil, nil
	}
	visibleSince := time.Now().Add(-s.faults.VMLag)
	i := len(s.lists) - 1
	for i > 0 && s.lists[i].at.After(visibleSince) {
		i--
	}
	return inDataCentre(s.lists[i].vms, dataCentre), nil
}

func inDataCentre(all []store.VM, dataCentre string) []store.VM {
	out := make([]store.VM, 0, len(all))
	for _, vm := range all {
		if dataCentre == "" || vm.DataCentre == dataCentre {
			out = append(out, vm)
		}
	}
	return out
}

// beginRequest delays and counts a request, and returns ErrDown while the store
// is down.
func (s *Store) beginRequest(ctx context.Context, counter *atomic.Int64) error {
	faults := s.CurrentFaults()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	counter.Add(1)
	if faults.Down {
		return ErrDown
	}
	return nil
}

// conditionHolds reports whether the row still has the version that the write
// requires. The caller holds s.mu.
func (s *Store) conditionHolds(w store.Write) bool {
	return s.rows[w.Key].Version == w.IfVersion
}

// apply performs a write. The caller holds s.mu.
func (s *Store) apply(w store.Write) {
	if w.Delete {
		delete(s.rows, w.Key)
		return
	}
	s.rows[w.Key] = store.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: w.IfVersion + 1}
}

// loseAnswer returns ErrDown for the share of writes whose answer is lost. The
// caller holds s.mu.
func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers > 0 && rand.Float64() < s.faults.LoseAnswers {
		return ErrDown
	}
	return nil
}
