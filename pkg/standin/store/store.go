// Package store is a small stand-in for the platform: a table with conditional
// writes, an object store, and a list of VMs that lags. It can be made slow,
// down, or to lose the answer of a write that took effect. Source: brief,
// "What the platform gives" and "What fails".
package store

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/platform"
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
	vms []platform.VM
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	lists   []listVersion
	faults  Faults
	reads   atomic.Int64
	writes  atomic.Int64
}

var _ platform.Platform = (*Store)(nil)

// New makes an empty stand-in.
func New() *Store {
	return &Store{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// SetFaults replaces the faults in force.
func (self *Store) SetFaults(f Faults) {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.faults = f
}

// CurrentFaults returns the faults in force.
func (self *Store) CurrentFaults() Faults {
	self.mu.Lock()
	defer self.mu.Unlock()
	return self.faults
}

// SetVMs replaces the list of VMs. Readers see it after the lag.
func (self *Store) SetVMs(vms []platform.VM) {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.lists = append(self.lists, listVersion{at: time.Now(), vms: append([]platform.VM(nil), vms...)})
}

// CurrentVMs returns the newest list, without lag.
func (self *Store) CurrentVMs() []platform.VM {
	self.mu.Lock()
	defer self.mu.Unlock()
	if len(self.lists) == 0 {
		return nil
	}
	return append([]platform.VM(nil), self.lists[len(self.lists)-1].vms...)
}

// Reads returns how many requests only read; Writes how many wrote.
func (self *Store) Reads() int64 { return self.reads.Load() }

// Writes returns how many requests wrote.
func (self *Store) Writes() int64 { return self.writes.Load() }

// Get implements platform.Table.
func (self *Store) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := self.begin(ctx, &self.reads); err != nil {
		return platform.Row{}, err
	}
	self.mu.Lock()
	defer self.mu.Unlock()
	row, ok := self.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

// Scan implements platform.Table.
func (self *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := self.begin(ctx, &self.reads); err != nil {
		return nil, err
	}
	self.mu.Lock()
	defer self.mu.Unlock()
	var out []platform.Row
	for key, row := range self.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

// Batch implements platform.Table.
func (self *Store) Batch(ctx context.Context, writes []platform.Write) ([]platform.Result, error) {
	if err := self.begin(ctx, &self.writes); err != nil {
		return nil, err
	}
	self.mu.Lock()
	defer self.mu.Unlock()
	out := make([]platform.Result, 0, len(writes))
	for _, w := range writes {
		won := self.holds(w)
		if won {
			self.apply(w)
		}
		out = append(out, platform.Result{Won: won, Row: self.rows[w.Key]})
	}
	return out, self.loseAnswer()
}

// Transact implements platform.Table.
func (self *Store) Transact(ctx context.Context, writes []platform.Write) error {
	if err := self.begin(ctx, &self.writes); err != nil {
		return err
	}
	self.mu.Lock()
	defer self.mu.Unlock()
	for _, w := range writes {
		if !self.holds(w) {
			return platform.ErrConflict
		}
	}
	for _, w := range writes {
		self.apply(w)
	}
	return self.loseAnswer()
}

// PutObject implements platform.Objects.
func (self *Store) PutObject(ctx context.Context, name string, data []byte) error {
	if err := self.begin(ctx, &self.writes); err != nil {
		return err
	}
	self.mu.Lock()
	defer self.mu.Unlock()
	self.objects[name] = append([]byte(nil), data...)
	return self.loseAnswer()
}

// Object implements platform.Objects.
func (self *Store) Object(ctx context.Context, name string) ([]byte, error) {
	if err := self.begin(ctx, &self.reads); err != nil {
		return nil, err
	}
	self.mu.Lock()
	defer self.mu.Unlock()
	data, ok := self.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return append([]byte(nil), data...), nil
}

// VMs implements platform.VMs.
func (self *Store) VMs(ctx context.Context, dataCentre string) ([]platform.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	self.reads.Add(1)
	self.mu.Lock()
	defer self.mu.Unlock()
	if len(self.lists) == 0 {
		return nil, nil
	}
	seen := time.Now().Add(-self.faults.VMLag)
	at := len(self.lists) - 1
	for at > 0 && self.lists[at].at.After(seen) {
		at--
	}
	return inDataCentre(self.lists[at].vms, dataCentre), nil
}

func inDataCentre(all []platform.VM, dataCentre string) []platform.VM {
	out := make([]platform.VM, 0, len(all))
	for _, vm := range all {
		if dataCentre == "" || vm.DataCentre == dataCentre {
			out = append(out, vm)
		}
	}
	return out
}

func (self *Store) begin(ctx context.Context, counter *atomic.Int64) error {
	faults := self.CurrentFaults()
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

func (self *Store) holds(w platform.Write) bool {
	return self.rows[w.Key].Version == w.IfVersion
}

func (self *Store) apply(w platform.Write) {
	if w.Delete {
		delete(self.rows, w.Key)
		return
	}
	self.rows[w.Key] = platform.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: w.IfVersion + 1}
}

func (self *Store) loseAnswer() error {
	if self.faults.LoseAnswers > 0 && rand.Float64() < self.faults.LoseAnswers {
		return ErrDown
	}
	return nil
}
