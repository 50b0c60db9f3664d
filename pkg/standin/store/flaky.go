package store

import (
	"context"
	"sync"

	"github.com/rushramp/rushramp/pkg/platform"
)

// Mode is what becomes of one request to a Flaky table.
type Mode int

// The modes.
const (
	// Works answers.
	Works Mode = iota
	// Loses applies a write and loses its answer.
	Loses
	// Delays fails now, and applies the write when Arrive is called, or never.
	Delays
	// Fails has no effect.
	Fails
	// ModeCount counts the modes.
	ModeCount
)

// Flaky is a Store whose next requests go as a script says, for tests that play
// histories step by step. It is safe for concurrent use.
type Flaky struct {
	*Store
	mu   sync.Mutex
	next []Mode
	late []func()
}

// NewFlaky makes an empty stand-in whose first requests go as the modes say.
func NewFlaky(next ...Mode) *Flaky { return &Flaky{Store: New(), next: next} }

// SetNext says how the next requests go; those after them work.
func (self *Flaky) SetNext(modes []Mode) {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.next = modes
}

// Late counts the writes on their way.
func (self *Flaky) Late() int {
	self.mu.Lock()
	defer self.mu.Unlock()
	return len(self.late)
}

func (self *Flaky) take() Mode {
	self.mu.Lock()
	defer self.mu.Unlock()
	if len(self.next) == 0 {
		return Works
	}
	m := self.next[0]
	self.next = self.next[1:]
	return m
}

// write plays one write that takes effect by apply.
func (self *Flaky) write(apply func() error) error {
	switch self.take() {
	case Loses:
		_ = apply()
		return ErrDown
	case Delays:
		self.mu.Lock()
		self.late = append(self.late, func() { _ = apply() })
		self.mu.Unlock()
		return ErrDown
	case Fails:
		return ErrDown
	}
	return apply()
}

// Arrive applies one of the writes on their way.
func (self *Flaky) Arrive(i int) {
	self.mu.Lock()
	apply := self.late[i]
	self.late = append(self.late[:i], self.late[i+1:]...)
	self.mu.Unlock()
	apply()
}

// Batch implements platform.Table.
func (self *Flaky) Batch(ctx context.Context, writes []platform.Write) (out []platform.Result, err error) {
	err = self.write(func() error {
		var applyErr error
		out, applyErr = self.Store.Batch(ctx, writes)
		return applyErr
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Transact implements platform.Table.
func (self *Flaky) Transact(ctx context.Context, writes []platform.Write) error {
	return self.write(func() error { return self.Store.Transact(ctx, writes) })
}

// Get implements platform.Table.
func (self *Flaky) Get(ctx context.Context, key string) (platform.Row, error) {
	if self.take() != Works {
		return platform.Row{}, ErrDown
	}
	return self.Store.Get(ctx, key)
}
