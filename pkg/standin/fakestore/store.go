// Package fakestore is a small stand-in for the platform: a table with conditional
// writes, an object store, and a list of VMs that lags. It can be made slow,
// down, or to lose the answer of a write that took effect. Source: brief,
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

// ErrDown is what the stand-in answers while it is down, and what the writer
// sees of a write whose answer is lost.
var ErrDown = errors.New("the stand-in platform does not answer")

// Faults is how the stand-in misbehaves.
type Faults struct {
	// Down makes each request to the table and the objects fail without effect.
	// The list of VMs is another service, and stays.
	Down bool `yaml:"down" json:"down"`
	// Delay is added to each request.
	Delay time.Duration `yaml:"delay" json:"delay"`
	// LoseAnswers is the share of writes that take effect and then fail.
	LoseAnswers float64 `yaml:"lose_answers" json:"lose_answers"`
	// VMLag is the age of the list of VMs that a reader sees.
	VMLag time.Duration `yaml:"vm_lag" json:"vm_lag"`
}

type listVersion struct {
	at  time.Time
	vms []store.VM
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	lists   []listVersion
	faults  Faults
	reads   atomic.Int64
	writes  atomic.Int64
}

var _ store.Platform = (*Store)(nil)

// New makes an empty stand-in.
func New() *Store {
	return &Store{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// CurrentFaults returns the faults in force.
func (s *Store) CurrentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetVMs replaces the list of VMs. Readers see it after the lag.
func (s *Store) SetVMs(vms []store.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, listVersion{at: time.Now(), vms: append([]store.VM(nil), vms...)})
}

// CurrentVMs returns the newest list, without lag.
func (s *Store) CurrentVMs() []store.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lists) == 0 {
		return nil
	}
	return append([]store.VM(nil), s.lists[len(s.lists)-1].vms...)
}

// Reads returns how many requests only read; Writes how many wrote.
func (s *Store) Reads() int64 { return s.reads.Load() }

// Writes returns how many requests wrote.
func (s *Store) Writes() int64 { return s.writes.Load() }

// Get implements store.Table.
func (s *Store) Get(ctx context.Context, key string) (store.Row, error) {
	if err := s.begin(ctx, &s.reads); err != nil {
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
	if err := s.begin(ctx, &s.reads); err != nil {
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
	if err := s.begin(ctx, &s.writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]store.Result, 0, len(writes))
	for _, w := range writes {
		won := s.holds(w)
		if won {
			s.apply(w)
		}
		out = append(out, store.Result{Applied: won, Row: s.rows[w.Key]})
	}
	return out, s.loseAnswer()
}

// Transact implements store.Table.
func (s *Store) Transact(ctx context.Context, writes []store.Write) error {
	if err := s.begin(ctx, &s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if !s.holds(w) {
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
	if err := s.begin(ctx, &s.writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = append([]byte(nil), data...)
	return s.loseAnswer()
}

// Object implements store.Objects.
func (s *Store) Object(ctx context.Context, name string) ([]byte, error) {
	if err := s.begin(ctx, &s.reads); err != nil {
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
	seen := time.Now().Add(-s.faults.VMLag)
	at := len(s.lists) - 1
	for at > 0 && s.lists[at].at.After(seen) {
		at--
	}
	return inDataCentre(s.lists[at].vms, dataCentre), nil
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

func (s *Store) begin(ctx context.Context, counter *atomic.Int64) error {
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

// The lower-case helpers expect the lock to be held.

func (s *Store) holds(w store.Write) bool {
	return s.rows[w.Key].Version == w.IfVersion
}

func (s *Store) apply(w store.Write) {
	if w.Delete {
		delete(s.rows, w.Key)
		return
	}
	s.rows[w.Key] = store.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: w.IfVersion + 1}
}

func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers > 0 && rand.Float64() < s.faults.LoseAnswers {
		return ErrDown
	}
	return nil
}
