package fakestore

import (
	"context"
	"sync"

	"github.com/rushramp/rushramp/pkg/store"
)

// Mode is what becomes of one request to a Flaky table.
type Mode int

// The modes.
const (
	// ModeSucceed answers.
	ModeSucceed Mode = iota
	// ModeLoseAnswer applies a write and loses its answer.
	ModeLoseAnswer
	// ModeDelay fails now, and applies the write when Arrive is called, or never.
	ModeDelay
	// ModeFail has no effect.
	ModeFail
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

// SetModes says how the next requests go; those after them work.
func (f *Flaky) SetModes(modes []Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = modes
}

// Pending counts the writes on their way.
func (f *Flaky) Pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.late)
}

func (f *Flaky) take() Mode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.next) == 0 {
		return ModeSucceed
	}
	m := f.next[0]
	f.next = f.next[1:]
	return m
}

// write plays one write that takes effect by apply.
func (f *Flaky) write(apply func() error) error {
	switch f.take() {
	case ModeLoseAnswer:
		_ = apply()
		return ErrDown
	case ModeDelay:
		f.mu.Lock()
		f.late = append(f.late, func() { _ = apply() })
		f.mu.Unlock()
		return ErrDown
	case ModeFail:
		return ErrDown
	}
	return apply()
}

// ApplyPending applies one of the writes on their way.
func (f *Flaky) ApplyPending(i int) {
	f.mu.Lock()
	apply := f.late[i]
	f.late = append(f.late[:i], f.late[i+1:]...)
	f.mu.Unlock()
	apply()
}

// Batch implements store.Table.
func (f *Flaky) Batch(ctx context.Context, writes []store.Write) (out []store.Result, err error) {
	err = f.write(func() error {
		var applyErr error
		out, applyErr = f.Store.Batch(ctx, writes)
		return applyErr
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Transact implements store.Table.
func (f *Flaky) Transact(ctx context.Context, writes []store.Write) error {
	return f.write(func() error { return f.Store.Transact(ctx, writes) })
}

// Get implements store.Table.
func (f *Flaky) Get(ctx context.Context, key string) (store.Row, error) {
	if f.take() != ModeSucceed {
		return store.Row{}, ErrDown
	}
	return f.Store.Get(ctx, key)
}
