package fakestore

import (
	"context"
	"sync"

	"github.com/rushramp/rushramp/pkg/store"
)

// Mode is the result of one request to a Flaky store.
type Mode int

// The possible results. Every one but ModeSucceed returns ErrDown.
const (
	// ModeSucceed handles the request normally.
	ModeSucceed Mode = iota
	// ModeLoseAnswer applies a write but returns an error. A read fails.
	ModeLoseAnswer
	// ModeDelay returns an error and keeps the write pending until ApplyPending
	// is called. A read fails.
	ModeDelay
	// ModeFail returns an error without any effect.
	ModeFail
	// ModeCount is the number of modes.
	ModeCount
)

// Flaky is a Store whose next Get, Batch and Transact requests succeed or fail
// as scripted, for tests that fail chosen requests. It is safe
// for concurrent use.
type Flaky struct {
	*Store
	mu      sync.Mutex
	modes   []Mode
	pending []func()
}

// NewFlaky returns an empty store. Its first requests follow the given modes,
// later ones succeed.
func NewFlaky(next ...Mode) *Flaky { return &Flaky{Store: New(), modes: next} }

// SetModes scripts the next requests; those after them succeed.
func (f *Flaky) SetModes(modes []Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.modes = modes
}

// Pending returns the number of delayed writes that are not applied yet.
func (f *Flaky) Pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending)
}

func (f *Flaky) nextMode() Mode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.modes) == 0 {
		return ModeSucceed
	}
	m := f.modes[0]
	f.modes = f.modes[1:]
	return m
}

// write performs a write in the next scripted mode. apply makes it take effect.
func (f *Flaky) write(apply func() error) error {
	switch f.nextMode() {
	case ModeLoseAnswer:
		_ = apply()
		return ErrDown
	case ModeDelay:
		f.mu.Lock()
		f.pending = append(f.pending, func() { _ = apply() })
		f.mu.Unlock()
		return ErrDown
	case ModeFail:
		return ErrDown
	}
	return apply()
}

// ApplyPending applies the i-th pending write. It panics when there is no such
// write.
func (f *Flaky) ApplyPending(i int) {
	f.mu.Lock()
	apply := f.pending[i]
	f.pending = append(f.pending[:i], f.pending[i+1:]...)
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
	if f.nextMode() != ModeSucceed {
		return store.Row{}, ErrDown
	}
	return f.Store.Get(ctx, key)
}
